package e2e_test

import (
	"context"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/replica"
)

// statusTimeout bounds one status call, so that a suspended process delays the
// survey of all processes only briefly.
const statusTimeout = time.Second

// status returns the status of a host's replica of a group as its own process
// reports it, or nil.
func (r *region) status(h *host, group string) *replica.Status {
	process, err := r.peers.Dial(h.name)
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	own, err := process.GroupStatus(ctx, &peer.GroupStatusRequest{})
	if err != nil {
		return nil
	}
	for i := range own.Groups {
		if own.Groups[i].Group == group {
			return &own.Groups[i]
		}
	}
	return nil
}

// appliedIndex returns the index up to which a replica has applied its log, or
// 0 if its status is not available.
func (r *region) appliedIndex(h *host, group string) uint64 {
	if s := r.status(h, group); s != nil {
		return s.Applied
	}
	return 0
}

// killAndWipeDisk kills a host and deletes its data folder.
func (r *region) killAndWipeDisk(h *host) {
	GinkgoHelper()
	r.kill(h)
	Expect(os.RemoveAll(r.dataFolder(h))).To(Succeed())
}

// members returns the members of a group as its leader sees them.
func (r *region) members(group string) []replica.Member {
	leader := r.leader(group)
	if s := r.status(leader, group); s != nil {
		return s.Members
	}
	return nil
}

// isVoter reports whether the replica of a host is a voter of a group.
func (r *region) isVoter(group, id string) bool {
	for _, m := range r.members(group) {
		if m.ID == id {
			return !m.Learner
		}
	}
	return false
}

// memberID returns the id under which a host is a member of a group according
// to the leader. A host that lost its disk no longer runs this member itself.
func (r *region) memberID(group, host string) string {
	for _, m := range r.members(group) {
		if m.Host == host {
			return m.ID
		}
	}
	return ""
}

// isWitness reports whether a host is a witness of a group.
func isWitness(host, group string) bool {
	return host == "entry-c1" && group == "dc-b" || host == "entry-a1" && group == "dc-c"
}

// replaceReplica removes the old member of a host that lost its disk, adds
// the new one, and waits until it is a voter.
func (r *region) replaceReplica(h *host, group string) {
	GinkgoHelper()
	old := r.memberID(group, h.name)
	leaderHost := r.leader(group)
	Expect(old).NotTo(BeEmpty())
	// The host takes a new replica id once the group has contacted it.
	Eventually(func() bool {
		s := r.status(h, group)
		return s != nil && s.ID != old
	}).WithTimeout(settleTimeout).WithPolling(pollInterval).Should(BeTrue(), "%s keeps its old id in %s", h.name, group)
	r.ctlAt(leaderHost, "replicas", "remove", "-group", group, "-id", old)
	args := []string{"replicas", "add", "-group", group, "-host", h.name}
	if isWitness(h.name, group) {
		args = append(args, "-witness")
	}
	out := r.ctlAt(leaderHost, args...)
	Expect(strings.Count(out, h.name+"#")).To(Equal(1), out)
	r.waitVoter(h, group)
	Expect(r.status(h, group).ID).NotTo(Equal(old))
}

// waitVoter waits until the replica that a host runs is a voter.
func (r *region) waitVoter(h *host, group string) {
	GinkgoHelper()
	Eventually(func() bool {
		s := r.status(h, group)
		return s != nil && r.isVoter(group, s.ID)
	}).WithTimeout(settleTimeout).WithPolling(pollInterval).Should(BeTrue(), "%s in %s", h.name, group)
}
