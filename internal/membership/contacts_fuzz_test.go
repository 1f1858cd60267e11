package membership

import (
	"testing"
	"time"
)

// FuzzContactRows checks that no content of a contact row crashes a node, yields a contact
// without an address, or hides the valid rows beside it.
func FuzzContactRows(f *testing.F) {
	f.Add([]byte(`{"ID":"vm-2","DataCentre":"dc-1","ControlAddr":"10.0.0.2:7000"}`), "contact/dc-1/vm-2")
	f.Add([]byte(`{"ID":7}`), "contact//")
	f.Add([]byte(`{"At":"2030-13-01"}`), "contact/")
	f.Add([]byte(`null`), "contact/dc-1/vm-1")
	f.Add([]byte(`{"ControlAddr":"\u0000"}`), "contact/dc-1/\x00")
	f.Fuzz(func(t *testing.T, value []byte, key string) {
		table := rows{}
		contacts := TableContacts{Table: table}
		good := ContactRow{Contact: Contact{ID: "vm-7", DataCentre: "dc-1", ControlAddr: "10.0.0.7:7000"}, At: epoch.Add(time.Second)}
		table[key] = value
		if err := contacts.Put(t.Context(), good); err != nil {
			t.Fatal(err)
		}
		list, err := contacts.List(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		s := newTestState(func(*Config) {})
		var found []Contact
		for _, row := range list {
			found = append(found, row.Contact)
		}
		s.AddContacts(epoch, found)
		there := false
		for _, c := range s.contacts {
			there = there || c == good.Contact
			if c.ControlAddr == "" {
				t.Errorf("%q in %q yields a contact without an address", value, key)
			}
		}
		if !there {
			t.Errorf("%q in %q hides another row: %v", value, key, s.contacts)
		}
	})
}
