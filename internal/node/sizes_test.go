package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/route"
)

// Guards against calls that leave their data centre while it has free slots. Load reports from
// remote endpoints are older and make them look idler, so that half of all calls crossed under
// even load. Calls must stay local while slots are free and cross when all are taken.
func TestSmallAnswersStayLocalWhileSlotsAreFree(t *testing.T) {
	now := time.Unix(1000, 0)
	p := route.New(route.Options{Self: "vm-9", DataCentre: "dc-0", Region: "r", RegionWide: true, Seed: 7})
	var eps []route.Endpoint
	for i := range 6 {
		eps = append(eps, route.Endpoint{
			ID: fmt.Sprintf("vm-%d/a", i), VM: fmt.Sprintf("vm-%d", i),
			DataCentre: fmt.Sprintf("dc-%d", i%3), Region: "r", Slots: 9, Ready: true,
		})
	}
	p.Update(now, eps)
	size := new(answerSize)
	size.add(400)
	info := route.PickInfo{RemoteCost: size.remoteCost()}
	crossed := func(open int) int {
		var held []route.Choice
		n := 0
		for range open {
			c, err := p.PickFor(now, info)
			if err != nil {
				t.Fatal(err)
			}
			if c.Endpoint().DataCentre != "dc-0" {
				n++
			}
			held = append(held, c)
		}
		for _, c := range held {
			c.Done(now, route.Report{})
		}
		return n
	}
	if n := crossed(6); n != 0 {
		t.Errorf("with a third of the local slots taken, %d of 6 calls left the data centre", n)
	}
	if n := crossed(40); n < 10 {
		t.Errorf("of 40 calls to 18 local slots only %d left the data centre", n)
	}
}
