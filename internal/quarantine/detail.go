package quarantine

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

// Bounds of a notice's detail in bytes, encoded. A membership record takes no
// string above maxDetail.
const (
	maxDetail = 256
	maxWhat   = 96
	maxBy     = 64
)

// detail is the Detail of a notice.
type detail struct {
	RequestLine string   `json:"what,omitempty"`
	Crashes     []Crash  `json:"crashes,omitempty"`
	Lifted      []string `json:"lifted,omitempty"`
	LiftedBy    string   `json:"by,omitempty"`
}

// detail returns what a notice tells of e, cut to what fits.
//
// It guards against a record that is refused whole. The names of VMs and backend
// servers and the path of a request, which its caller chooses, could make one
// notice longer than a record takes; the node then told of no request at all,
// and every entry node sent the bad ones on. What decides goes first: the crash
// that weighs most, what was lifted last, further crashes, and the name of the
// request in the room that is left.
func (e *Entry) detail() string {
	crashes := slices.Clone(e.Crashes)
	slices.SortStableFunc(crashes, func(a, b Crash) int { return b.score() - a.score() })
	d := detail{Crashes: crashes, Lifted: e.Lifted, LiftedBy: cut(e.LiftedBy, maxBy)}
	for len(d.encode()) > maxDetail {
		switch {
		case len(d.Crashes) > 1:
			d.Crashes = d.Crashes[:len(d.Crashes)-1]
		case len(d.Lifted) > 0:
			d.Lifted = d.Lifted[1:]
		case d.LiftedBy != "":
			d.LiftedBy = ""
		default:
			d.Crashes = nil // of a name that no settings allow
		}
	}
	room := maxDetail - len(d.encode()) - len(`"what":"",`)
	for n := min(maxWhat, room); n > 0; n-- {
		d.RequestLine = cut(e.RequestLine, n)
		if text := d.encode(); len(text) <= maxDetail {
			return text
		}
	}
	d.RequestLine = ""
	return d.encode()
}

func (d detail) encode() string {
	var out bytes.Buffer
	e := json.NewEncoder(&out)
	e.SetEscapeHTML(false) // a path has many of these signs
	if err := e.Encode(d); err != nil {
		// Strings and booleans always encode.
		panic("quarantine: " + err.Error())
	}
	return strings.TrimSuffix(out.String(), "\n")
}

// cut returns the first n bytes of s at most, without half a character.
func cut(s string, n int) string {
	s = s[:min(len(s), n)]
	for len(s) > 0 {
		r, size := utf8.DecodeLastRuneInString(s)
		if r != utf8.RuneError || size != 1 {
			break
		}
		s = s[:len(s)-1]
	}
	return strings.ToValidUTF8(s, "?")
}

// momentLength is the length of a crash's moment, until the year 2059.
const momentLength = 8

// lift returns the short form in which a lift names a crash: its moment, so that
// the latest sort last, and a hash. Many lifts have to fit into a notice.
func lift(crash string) string {
	moment := crash[strings.LastIndexByte(crash, '/')+1:]
	hash := strconv.FormatUint(uint64(uint32(xxhash.Sum64String(crash))), 36)
	return cut(moment, momentLength) + hash
}
