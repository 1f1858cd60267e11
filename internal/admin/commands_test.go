package admin

import (
	"errors"
	"testing"
	"unicode/utf8"

	"github.com/marlpass/marlpass/internal/command"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
)

// Whatever stands in a write's headers, the command gets a note that the table
// can hold, or the operator learns which header is wrong.
func FuzzReadHeaders(f *testing.F) {
	f.Add(`"41"`, "monsoon%20opens")
	f.Add(`W/"41"`, "%")
	f.Add(`18446744073709551616`, "%ff")
	f.Fuzz(func(t *testing.T, tag, note string) {
		var c command.Command
		err := readHeaders(writeParams{
			IfMatch: adminapi.NewOptString(tag), MarlpassNote: adminapi.NewOptString(note),
		}, &c)
		var bad *parameterError
		switch {
		case err != nil && !errors.As(err, &bad):
			t.Errorf("%q, %q: %v names no header", tag, note, err)
		case err == nil && (c.Base == nil || len(c.Note) > command.MaxNoteLength || !utf8.ValidString(c.Note)):
			t.Errorf("%q, %q: taken as %+v", tag, note, c)
		case c.ID == "":
			t.Errorf("%q, %q: no identity", tag, note)
		}
	})
}
