package decisions

import (
	"strings"
	"testing"
)

// Many users complain within the same minute. Two calls were refused for the same
// reason, one of them by a caller who came back; one line tells of no call.
func TestOverviewCountsWhatDecided(t *testing.T) {
	const log = `node-1 {"decision":"refused","call":"a","class":"previews","reason":"overloaded","after_ms":10,"time":1000}
{"decision":"refused","call":"b","class":"previews","reason":"overloaded","after_ms":30,"time":2500}
{"decision":"refused","call":"a","class":"previews","reason":"overloaded","after_ms":2,"before_ms":1200,"time":2200}
{"decision":"turned","call":"c.1","class":"lookups","reason":"overloaded","detail":"the queue is full","once":true,"time":2300}
{"decision":"summary","class":"previews","answered":12,"time":2400}
{"message":"node: started","time":1}
`
	var o Overview
	if err := o.Read(strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := o.Print(&out, 10); err != nil {
		t.Fatal(err)
	}
	want := `LINES  DECISION  CLASS     WHY                                   MEAN AFTER  FROM        TO
2      refused   previews  overloaded                            20 ms       00:00:01.0  00:00:02.5
1      refused   previews  overloaded (returned)                 2 ms        00:00:02.2  00:00:02.2
1      turned    lookups   overloaded, the queue is full (once)  0 ms        00:00:02.3  00:00:02.3
`
	if out.String() != want {
		t.Errorf("got\n%s\nwant\n%s", out.String(), want)
	}
}
