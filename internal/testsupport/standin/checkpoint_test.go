package standin_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/target"
	"agatehaven.dev/agatehaven/internal/testsupport/standin"
)

var _ = Describe("Checkpoints of the stand-in", func() {
	It("continue a run on another target, and only from a known reference", func() {
		// Guards against a stand-in that restarts work from the beginning and so
		// hides lost checkpoint references, or that accepts unknown references.
		ctx := context.Background()
		fleet, err := standin.Start(standin.Config{Targets: 2, DataCentre: "dc1"})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(fleet.Close)
		client := target.NewHTTPClient(target.HTTPConfig{Clock: clock.System{}})
		first, second := fleet.Targets()[0].Info().Address, fleet.Targets()[1].Info().Address
		task := target.Task{Key: "a", Attempt: 1, Payload: []byte(`{"run_ms":60000}`)}
		Expect(client.Start(ctx, first, task)).To(Succeed())
		Eventually(func() int64 {
			st, _ := client.Poll(ctx, first, "a", 1, 0)
			return st.Progress
		}).Should(BeNumerically(">", 20))
		stopped, err := client.Checkpoint(ctx, first, "a", 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(stopped.State).To(Equal(target.TaskStopped))
		again, err := client.Checkpoint(ctx, first, "a", 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Checkpoint).To(Equal(stopped.Checkpoint), "a repeated order has effect once")

		task.Attempt, task.Checkpoint = 2, stopped.Checkpoint
		Expect(client.Start(ctx, second, task)).To(Succeed())
		Expect(fleet.Runs()).To(HaveLen(2))
		Expect(fleet.Runs()[1].FromMS).To(BeNumerically(">=", 20))

		task.Attempt, task.Checkpoint = 3, []byte("unknown")
		Expect(client.Start(ctx, second, task)).To(Succeed())
		Eventually(func() target.TaskState {
			st, _ := client.Poll(ctx, second, "a", 3, time.Second)
			return st.State
		}).Should(Equal(target.TaskFailed))
	})
})
