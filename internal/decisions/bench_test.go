package decisions

import (
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// What a decision costs: one that gets a line, up to the writer, and one that is only
// counted.
func BenchmarkDecision(b *testing.B) {
	now := time.Now()
	for name, perLine := range map[string]time.Duration{"line": time.Second / PerSecond, "left out": 0} {
		b.Run(name, func(b *testing.B) {
			l := New(zerolog.New(io.Discard).With().Timestamp().Str("vm", "vm-1").Logger(), nil)
			for i := range b.N {
				l.Line(now.Add(time.Duration(i)*perLine), Late, "0123456789abcdef").
					Str("class", "lookups").Str("service", "berths").Uint64("version", 7).
					Int("attempts", 1).Int("reached", 1).Int64("after_ms", 812).
					Str("endpoint", "vm-2/i-1").Int("status", 200).Int64("waited_ms", 204).
					Int64("ran_ms", 590).Int64("aim_ms", 800).Int64("bytes", 1024).Bool("partial", false).
					Msg("entry: the answer is later than the class aims at")
			}
		})
	}
}
