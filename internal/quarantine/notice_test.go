package quarantine

import (
	"reflect"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/membership"
)

// Whatever a peer tells: a fact lasts no longer than this node's own would, and
// hearing it again changes nothing, or two nodes would tell each other for ever.
func FuzzMergeNotices(f *testing.F) {
	told := newList("b")
	for range 2 {
		for _, n := range crash(f, told, start, "b/1", request("x")) {
			f.Add(n.Kind, n.ID, n.Detail, n.Expires)
		}
	}
	f.Add(string(KindLifted), request("x").String(), `{"lifted":["b/1"]}`, int64(1)<<62)
	f.Add(string(KindSuspect), "0g", `{`, int64(-1)<<63)
	f.Fuzz(func(t *testing.T, kind, id, detail string, expires int64) {
		n := []membership.Notice{{Kind: kind, ID: id, Detail: detail, Expires: expires}}
		l := newList("a")
		l.MergeNotices(start, "b", n)
		once := l.Entries(start)
		for _, e := range once {
			if last := start.Add(l.lifetime(e.Kind)); e.Expires.After(last) {
				t.Errorf("expires %s, after %s", e.Expires, last)
			}
			if fp, err := ParseFingerprint(e.Fingerprint.String()); err != nil || fp != e.Fingerprint {
				t.Errorf("%v became %v, %v", e.Fingerprint, fp, err)
			}
		}
		l.MergeNotices(start.Add(time.Second), "c", n)
		if again := l.Entries(start); !reflect.DeepEqual(again, once) {
			t.Errorf("told again: %+v became %+v", once, again)
		}
	})
}
