package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/marlpass/marlpass/internal/config"
)

func response(length int64, body io.Reader) *http.Response {
	return &http.Response{StatusCode: http.StatusOK, ContentLength: length, Body: io.NopCloser(body), Header: http.Header{}}
}

// A truncated answer that was buffered can be retried at another endpoint; one that was relayed
// while it arrived broke the caller's connection.
func TestSpoolDetectsTruncatedAnswers(t *testing.T) {
	s := NewSpool(1 << 20)
	if tried, err := s.read(response(10, strings.NewReader("half"))); !tried || !errors.Is(err, errAnswerTruncated) {
		t.Errorf("broken: %v %v", tried, err)
	}
	if s.used.Load() != 0 {
		t.Errorf("%d bytes are kept of an answer that broke off", s.used.Load())
	}
	resp := response(4, strings.NewReader("good"))
	if tried, err := s.read(resp); !tried || err != nil || s.used.Load() != 4 {
		t.Errorf("whole: %v %v, %d bytes", tried, err, s.used.Load())
	}
	if b, err := io.ReadAll(resp.Body); string(b) != "good" || err != nil {
		t.Errorf("%q %v", b, err)
	}
	resp.Body.Close()
	resp.Body.Close()
	if s.used.Load() != 0 {
		t.Errorf("%d bytes are kept of an answer that was passed on", s.used.Load())
	}
}

// Answers of unknown length, answers over the bound, and answers without memory left must not be
// buffered.
func TestSpoolSkipsUnboundedAnswers(t *testing.T) {
	s := NewSpool(8)
	for _, n := range []int64{-1, 0, 9, maxSpooledBytes + 1} {
		if tried, err := s.read(response(n, strings.NewReader("x"))); tried || err != nil {
			t.Errorf("length %d: %v %v", n, tried, err)
		}
	}
	if tried, _ := (*Spool)(nil).read(response(1, strings.NewReader("x"))); tried {
		t.Error("a nil spool read an answer")
	}
}

// Guards against downloads that fill a slow link's queue and delay lookups: the first part of each
// answer is sent at once, the rest is paced.
func TestLinkPacesBulkOnly(t *testing.T) {
	const bytesPerSecond = 1 << 20
	l := NewLinkPacer(bytesPerSecond / bytesPerMbit)
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // a wait for the pacer fails at once
	w := httptest.NewRecorder()
	small, err := l.pace(ctx, w, new(config.Target), 0, -1).Write(make([]byte, bulkThreshold))
	if small != bulkThreshold || err != nil {
		t.Errorf("a small answer: %d bytes, %v", small, err)
	}
	large, err := l.pace(ctx, w, new(config.Target), 0, -1).Write(make([]byte, 2*bulkThreshold))
	if large >= 2*bulkThreshold || err == nil {
		t.Errorf("a large answer: %d bytes, %v", large, err)
	}
	if got, want := float64(l.bulk.Limit()), bytesPerSecond*bulkShare-smallAnswerMbps*bytesPerMbit; got != want {
		t.Errorf("bulk goes at %.0f bytes a second, not %.0f", got, want)
	}
	if NewLinkPacer(0) != nil {
		t.Error("a link of unknown rate is paced")
	}
	var b bytes.Buffer
	_, _ = b.ReadFrom(w.Body)
	if b.Len() != small+large {
		t.Errorf("%d bytes came, %d were written", b.Len(), small+large)
	}
}

// An export of 280 KB must arrive within 0.8 s over 11 Mbit/s, while a picture of 90 KB has more
// time over 5 Mbit/s. With a fixed share of the link, the export is late or the picture delays
// lookups.
func TestAnswerRateFollowsTargetLatency(t *testing.T) {
	for _, c := range []struct {
		aimMS, size int64
		mbps, want  float64 // want is a share of the link
	}{
		{800, 280_000, 11, 0.636},
		{1000, 90_000, 5, 0.36},
		{1000, 20_000, 5, minAnswerShare},
		{1000, 540_000, 5, maxAnswerShare},
		{0, 90_000, 5, minAnswerShare},
		{1000, -1, 5, minAnswerShare},
	} {
		link := c.mbps * bytesPerMbit
		got := answerRate(&config.Target{AnswerWithinMS: c.aimMS}, link, c.size) / link
		if got < c.want-0.01 || got > c.want+0.01 {
			t.Errorf("%+v: %.3f of the link", c, got)
		}
	}
}
