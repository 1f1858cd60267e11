package node

import (
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/settings"
	"github.com/marlpass/marlpass/internal/settings/strict"
)

// Guards against the two sides of a partition that each use the whole slack.
func TestSmallerViewKeepsShareOfSlack(t *testing.T) {
	r := &retries{set: settings.Retries{Ratio: 0.2, Slack: 200, Window: strict.Duration{Duration: 10 * time.Second}, Inherited: true}}
	r.setNodeCount(100)
	r.setNodeCount(10)
	for range 1000 {
		r.Called("berths")
	}
	allowed := 0
	for r.CalledInherited(time.Now(), "berths") {
		allowed++
	}
	if allowed != 1 {
		t.Errorf("%d retries at once from a share of two of which three quarters are burst", allowed)
	}
}
