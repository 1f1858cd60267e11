package control

import "time"

// peakEvery is how often a peak looks at its counter, and peakSamples how many
// looks make the second that a rate is taken over.
const (
	peakEvery   = 100 * time.Millisecond
	peakSamples = 10
)

// peak finds the highest rate of a counter over any second.
type peak struct {
	counter     func() float64
	samples     []float64
	highest     float64
	done, ended chan struct{}
}

func startPeak(counter func() float64) *peak {
	p := &peak{counter: counter, done: make(chan struct{}), ended: make(chan struct{})}
	go p.run()
	return p
}

func (p *peak) run() {
	defer close(p.ended)
	t := time.NewTicker(peakEvery)
	defer t.Stop()
	for {
		p.add(p.counter())
		select {
		case <-p.done:
			return
		case <-t.C:
		}
	}
}

// add takes the next look. A counter that fell began anew.
func (p *peak) add(v float64) {
	if n := len(p.samples); n > 0 && v < p.samples[n-1] {
		p.samples = nil
	}
	p.samples = append(p.samples, v)
	if len(p.samples) > peakSamples+1 {
		p.samples = p.samples[1:]
	}
	p.highest = max(p.highest, v-p.samples[0])
}

// stop ends it and returns the highest rate a second.
func (p *peak) stop() float64 {
	close(p.done)
	<-p.ended
	return p.highest
}
