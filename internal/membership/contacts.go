package membership

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marlpass/marlpass/internal/platform"
)

// ContactRow is a Contact as stored in the platform's table, as JSON.
type ContactRow struct {
	Contact
	At time.Time // time of the write, by the writer's clock
}

// Contacts is the platform's list of nodes that a starting node can join through.
type Contacts interface {
	List(ctx context.Context) ([]ContactRow, error)
	Put(ctx context.Context, c ContactRow) error
	Remove(ctx context.Context, c Contact) error
}

const (
	contactPrefix = "contact/"
	contactLimit  = 64 // rows per read; each data centre writes only a few
)

// TableContacts stores contacts in rows contact/DC/VM of the platform's table.
type TableContacts struct{ Table platform.Table }

func contactKey(c Contact) string { return contactPrefix + c.DataCentre + "/" + c.ID }

// List reads the rows and skips those that do not parse.
func (t TableContacts) List(ctx context.Context) ([]ContactRow, error) {
	rows, err := t.Table.Scan(ctx, contactPrefix, "", contactLimit)
	if err != nil {
		return nil, merry.Prepend(err, "membership: list contacts")
	}
	out := make([]ContactRow, 0, len(rows))
	for _, row := range rows {
		var c ContactRow
		if json.Unmarshal(row.Value, &c) != nil || !strings.HasPrefix(row.Key, contactPrefix) {
			continue
		}
		out = append(out, c)
	}
	return out, nil
}

// Put writes the row unconditionally: only the node itself writes its row.
func (t TableContacts) Put(ctx context.Context, c ContactRow) error {
	value, err := json.Marshal(c)
	if err != nil {
		return merry.Prepend(err, "membership: encode contact")
	}
	txn := platform.Txn{Writes: []platform.Write{{Key: contactKey(c.Contact), Value: value}}}
	return merry.Prepend(t.Table.Commit(ctx, txn), "membership: write contact")
}

// Remove deletes the row of a node.
func (t TableContacts) Remove(ctx context.Context, c Contact) error {
	txn := platform.Txn{Writes: []platform.Write{{Key: contactKey(c), Delete: true}}}
	return merry.Prepend(t.Table.Commit(ctx, txn), "membership: remove contact")
}
