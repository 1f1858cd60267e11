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

// Maximum length of a notice's detail, in bytes of JSON, and of its request line and LiftedBy
// before encoding. A membership record accepts no string longer than maxDetail.
const (
	maxDetail      = 256
	maxRequestLine = 96
	maxLiftedBy    = 64
)

// detail is the JSON form of a notice's Detail.
type detail struct {
	RequestLine string   `json:"what,omitempty"`
	Crashes     []Crash  `json:"crashes,omitempty"`
	Lifted      []string `json:"lifted,omitempty"`
	LiftedBy    string   `json:"by,omitempty"`
}

// detail returns the encoded detail of the notice for e, truncated to maxDetail.
//
// It prevents an oversized notice, for which the whole membership record is refused. Names of VMs
// and backend servers and the path of a request, which its caller chooses, could make one notice
// too long; the node then announced no request at all, and every entry node went on sending the bad
// ones. The decisive parts have precedence: the crash with the highest score, the most recent
// lifts, further crashes, and then as much of the request line as fits.
func (e *Entry) detail() string {
	crashes := slices.Clone(e.Crashes)
	slices.SortStableFunc(crashes, func(a, b Crash) int { return b.score() - a.score() })
	d := detail{Crashes: crashes, Lifted: e.Lifted, LiftedBy: truncate(e.LiftedBy, maxLiftedBy)}
	for len(d.encode()) > maxDetail {
		switch {
		case len(d.Crashes) > 1:
			d.Crashes = d.Crashes[:len(d.Crashes)-1]
		case len(d.Lifted) > 0:
			d.Lifted = d.Lifted[1:]
		case d.LiftedBy != "":
			d.LiftedBy = ""
		default:
			d.Crashes = nil // only for names longer than the settings allow
		}
	}
	room := maxDetail - len(d.encode()) - len(`"what":"",`)
	for n := min(maxRequestLine, room); n > 0; n-- {
		d.RequestLine = truncate(e.RequestLine, n)
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
	e.SetEscapeHTML(false) // escaping would lengthen paths, which often contain these characters
	if err := e.Encode(d); err != nil {
		// Strings and booleans always encode.
		panic("quarantine: " + err.Error())
	}
	return strings.TrimSuffix(out.String(), "\n")
}

// truncate returns at most the first n bytes of s, without a partial UTF-8 character.
func truncate(s string, n int) string {
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

// crashTimeLength is the length of the time in a crash ID, until the year 2059.
const crashTimeLength = 8

// shortCrashID returns the short form of a crash ID used in lifts: its time, so that the latest
// sort last, and a hash. Many lifts have to fit into a notice.
func shortCrashID(crash string) string {
	moment := crash[strings.LastIndexByte(crash, '/')+1:]
	hash := strconv.FormatUint(uint64(uint32(xxhash.Sum64String(crash))), 36)
	return truncate(moment, crashTimeLength) + hash
}
