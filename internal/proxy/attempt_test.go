package proxy

import (
	"testing"
	"time"
)

// An owner's booking runs well and is cut off at once: its caller is told that
// no answer came within the deadline. An attempt before it, whose memory it
// uses, had ended in the moment in which its bound passed. That bound's timer
// still ran, and met the booking: the attempt was given back since the timer of
// a yet earlier answer, of the same memory, had been stopped.
func TestAttemptIsNotUsedAgainWhileItsTimerRuns(t *testing.T) {
	up := NewUpstreams(SlowDetection).get(time.Now(), "127.0.0.1:1", "")
	for range 100 {
		answered := newAttempt(up, nil, time.Hour)
		answered.timer.Stop()
		answered.answer.timerStopped = true // as send and Read leave it
		answered.finish()
		a := newAttempt(up, nil, time.Hour)
		if a.answer.timerStopped {
			t.Fatal("a new attempt counts as one whose timer was stopped")
		}
		a.timer.Stop()
		a.finish()
	}
}
