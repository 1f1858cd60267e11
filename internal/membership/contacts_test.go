package membership

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/platform"
)

// rows is a platform table that ignores conditions.
type rows map[string][]byte

func (r rows) Get(context.Context, string) (platform.Row, error) {
	return platform.Row{}, platform.ErrNotFound
}

func (r rows) Scan(_ context.Context, prefix, _ string, _ int) (out []platform.Row, _ error) {
	for key, value := range r {
		if strings.HasPrefix(key, prefix) {
			out = append(out, platform.Row{Key: key, Value: value, Revision: 1})
		}
	}
	return out, nil
}

func (r rows) Commit(_ context.Context, t platform.Txn) error {
	for _, w := range t.Writes {
		r[w.Key] = w.Value
		if w.Delete {
			delete(r, w.Key)
		}
	}
	return nil
}

func TestTableContacts(t *testing.T) {
	table := rows{"contact/dc-1/vm-9": []byte("not JSON"), "head": []byte("{}")}
	contacts := TableContacts{Table: table}
	want := ContactRow{Contact: Contact{ID: "vm-1", DataCentre: "dc-1", ControlAddr: "10.0.0.1:7000"}, At: epoch.Add(time.Second)}
	if err := contacts.Put(t.Context(), want); err != nil {
		t.Fatal(err)
	}
	if _, ok := table["contact/dc-1/vm-1"]; !ok {
		t.Errorf("row not under its key: %v", table)
	}
	got, err := contacts.List(t.Context())
	if err != nil || len(got) != 1 || got[0] != want {
		t.Errorf("listed %v, %v", got, err)
	}
	if err := contacts.Remove(t.Context(), want.Contact); err != nil || len(table) != 2 {
		t.Errorf("remaining: %v, %v", table, err)
	}
}
