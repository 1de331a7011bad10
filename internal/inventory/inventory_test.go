package inventory_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/inventory"
	"agatehaven.dev/agatehaven/internal/model"
)

func TestInventory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "inventory")
}

// fleet applies commands to a state, as the data centre's state machine does.
type fleet struct {
	*inventory.State
	now       int64 // milliseconds
	index     uint64
	catalogue *model.Catalogue
	busy      map[string]bool
}

func newFleet(floor int) *fleet {
	return &fleet{State: inventory.New(), busy: map[string]bool{}, catalogue: &model.Catalogue{
		Pools: map[string]*model.Pool{"render": {Name: "render"}, "spare": {Name: "spare", Spare: true}},
		Waves: map[string]*model.Wave{"w": {Name: "w", Pool: "render", State: model.WaveRunning, FailureThreshold: 2}},
		Floors: map[string]map[string]int{
			"render": {"a": floor}, "spare": {"a": 1}},
	}}
}

func (f *fleet) do(cmd inventory.Command) (inventory.Result, []event.Event) {
	f.index++
	f.now += 1000
	return f.Apply(inventory.ApplyContext{
		DataCentre: "a", Group: "a", Index: f.index, Time: hlc.Time{WallMillis: f.now}, Catalogue: f.catalogue,
		Idle: func(host string) bool { return !f.busy[host] },
	}, &cmd)
}

func register(host, incarnation, pool string) inventory.Command {
	return inventory.Command{Register: &inventory.Register{Info: model.HostInfo{
		Name: host, DataCentre: "a", Rack: "r1", Incarnation: incarnation, Pool: pool}}}
}

func drain(host, wave, moveTo string) inventory.Command {
	return inventory.Command{Drain: &inventory.Drain{Host: host, Wave: wave, MoveTo: moveTo, Actor: "op", Reason: "test"}}
}

func markLost(host string) inventory.Command {
	return inventory.Command{MarkLost: &inventory.MarkLost{Host: host, Reason: "lease expired"}}
}

func returnHost(host string) inventory.Command {
	return inventory.Command{Return: &inventory.Return{Host: host, Reason: "steady"}}
}

func maintain(host, order string) inventory.Command {
	return inventory.Command{Maintain: &inventory.Maintain{Host: host, OrderID: order}}
}

func finishStep(host string) inventory.Command {
	return inventory.Command{FinishStep: &inventory.FinishStep{Host: host}}
}

func failStep(host string) inventory.Command {
	return inventory.Command{FailStep: &inventory.FailStep{Host: host, Reason: "did not return"}}
}

func completeDrain(host string) inventory.Command {
	return inventory.Command{CompleteDrain: &inventory.CompleteDrain{Host: host}}
}

func resume(host string) inventory.Command {
	return inventory.Command{Resume: &inventory.Resume{Host: host, Actor: "op", Reason: "test"}}
}

func setAside(host string) inventory.Command {
	return inventory.Command{SetAside: &inventory.SetAside{Host: host, Reason: "fails every task"}}
}

var _ = Describe("State", func() {
	It("gives the results and events of the golden file", func() {
		// Guards against an unintended change of any command's rules, result or
		// events.
		f := newFleet(2)
		var text strings.Builder
		step := func(what string, cmd inventory.Command) {
			res, events := f.do(cmd)
			fmt.Fprintf(&text, "%s\n", what)
			if res.Host != nil {
				h := res.Host
				fmt.Fprintf(&text, "  %s pool=%s state=%s wave=%s move_to=%s reason=%q\n", h.Info.Name, h.Pool, h.State, h.Wave, h.MoveTo, h.Reason)
			}
			if res.Err != nil {
				fmt.Fprintf(&text, "  error: %v\n", res.Err)
			}
			for _, l := range res.Lost {
				fmt.Fprintf(&text, "  lost tasks of %s/%s: %s\n", l.Name, l.Incarnation, l.Reason)
			}
			for _, e := range events {
				fmt.Fprintf(&text, "  event %d/%d %s %s\n", e.ID.Index, e.ID.Seq, e.Kind, e.Reason)
			}
		}
		for _, h := range []string{"h1", "h2", "h3", "h4"} {
			step("register "+h, register(h, "i1", "render"))
		}
		step("register spare", register("s1", "i1", "spare"))
		step("wave step", drain("h1", "w", ""))
		step("resend", drain("h1", "w", ""))
		step("second removal", drain("h2", "", ""))
		step("third removal falls below the floor", drain("h3", "", "spare"))
		step("set aside falls below the floor", setAside("h3"))
		f.busy["h1"] = true
		step("maintain a busy host", maintain("h1", "o1"))
		f.busy["h1"] = false
		step("maintain", maintain("h1", "o1"))
		step("maintain an operator's host", maintain("h2", "o2"))
		step("lease of a host in maintenance", markLost("h1"))
		step("rebooted", register("h1", "i2", "render"))
		step("lost while verifying", markLost("h1"))
		step("returns", register("h1", "i2", "other"))
		step("return instead of the end of the step", returnHost("h1"))
		step("finish", finishStep("h1"))
		step("resend", finishStep("h1"))
		step("step again", drain("h1", "w", ""))
		step("drained host is lost", markLost("h2"))
		step("and returns", register("h2", "i2", "render"))
		step("resume", resume("h2"))
		step("move", drain("h3", "", "spare"))
		f.busy["h3"] = true
		step("complete with running work", completeDrain("h3"))
		f.busy["h3"] = false
		step("complete", completeDrain("h3"))
		step("resend", drain("h3", "", "spare"))
		step("last spare", drain("s1", "", "render"))
		step("spare floor", drain("h3", "", "render"))
		step("step of a wave of another pool", drain("h3", "w", ""))
		step("lend to a wave of another pool", drain("h4", "w", "spare"))
		step("register", register("s2", "i1", "spare"))
		step("lend to a wave", drain("s2", "w", "render"))
		step("pause", inventory.Command{PauseWave: &inventory.PauseWave{Wave: "w", Reason: "2 failures"}})
		step("step of a paused wave", drain("h4", "w", ""))
		step("resume without a raised count", inventory.Command{ResumeWave: &inventory.ResumeWave{Wave: "w"}})
		f.catalogue.Waves["w"].Resume = 1
		step("resume", inventory.Command{ResumeWave: &inventory.ResumeWave{Wave: "w", Resume: 1}})
		step("step", drain("h4", "w", ""))
		step("lost before its reboot was ordered", markLost("h4"))
		step("returns", register("h4", "i1", "render"))
		step("verified", returnHost("h4"))
		step("step again", drain("h4", "w", ""))
		step("finish with open steps", inventory.Command{FinishWave: &inventory.FinishWave{Wave: "w"}})
		step("maintain", maintain("h4", "o4"))
		step("fail", failStep("h4"))
		step("resend", failStep("h4"))
		step("finish wave", inventory.Command{FinishWave: &inventory.FinishWave{Wave: "w"}})
		step("leaving", inventory.Command{SetLeaving: &inventory.SetLeaving{Host: "h2", Reason: "shutdown"}})
		path := "testdata/session.golden"
		if os.Getenv("UPDATE_GOLDEN") != "" {
			Expect(os.WriteFile(path, []byte(text.String()), 0o644)).To(Succeed())
		}
		want, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(text.String()).To(Equal(string(want)))
	})
})
