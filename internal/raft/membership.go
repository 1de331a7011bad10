package raft

import (
	"fmt"

	"agatehaven.dev/agatehaven/internal/fault"
)

// membershipChange is the operation named in errors.
const membershipChange = "membership change"

// ProposeAdd adds m as a learner. Unless m is a standby, the leader makes it a
// voter once it has caught up. Errors, all without effect: *fault.NotLeader,
// *fault.Invalid, *fault.Precondition.
func (n *Node) ProposeAdd(m Member) (index, term uint64, err error) {
	if HostOf(m.ID) == "" || HostOf(m.ID) != m.Host {
		return 0, 0, &fault.Invalid{Field: "member id", Reason: "malformed or of another host", Allowed: "<host>#<incarnation>"}
	}
	if err := n.checkMembershipChange(); err != nil {
		return 0, 0, err
	}
	config := n.log.config()
	if _, ok := config.Find(m.ID); ok {
		return 0, 0, &fault.Precondition{What: membershipChange, Reason: fmt.Sprintf("replica %q is a member already", m.ID)}
	}
	if !m.Standby {
		if err := n.checkAddVoter(); err != nil {
			return 0, 0, err
		}
	}
	m.Learner = true
	return n.proposeConfig(config.with(m))
}

// ProposePromote makes a standby an ordinary learner, which becomes a voter
// once it has caught up. Errors, all without effect: *fault.NotLeader,
// *fault.NotFound, *fault.Precondition.
func (n *Node) ProposePromote(id string) (index, term uint64, err error) {
	if err := n.checkMembershipChange(); err != nil {
		return 0, 0, err
	}
	config := n.log.config()
	if m, ok := config.Find(id); !ok || !m.Standby {
		return 0, 0, &fault.NotFound{Kind: "standby replica", Name: id}
	}
	if err := n.checkAddVoter(); err != nil {
		return 0, 0, err
	}
	return n.proposeConfig(config.withUpdated(id, func(m *Member) { m.Standby = false }))
}

// checkAddVoter returns an error if no further voter may be added now.
func (n *Node) checkAddVoter() error {
	if id, ok := n.log.config().learner(); ok {
		return notCaughtUpError(id)
	}
	if !n.mayAddVoter() {
		return &fault.Precondition{What: membershipChange, Reason: "a voter is not reachable: remove it first"}
	}
	return nil
}

// ProposeRemove removes a member. While a learner has not caught up, only the
// learner itself can be removed, which cancels its addition. Errors, all
// without effect: *fault.NotLeader, *fault.NotFound, *fault.Precondition.
func (n *Node) ProposeRemove(id string) (index, term uint64, err error) {
	if err := n.checkMembershipChange(); err != nil {
		return 0, 0, err
	}
	config := n.log.config()
	if learner, ok := config.learner(); ok && learner != id && !n.caughtUp(learner) {
		return 0, 0, notCaughtUpError(learner)
	}
	if _, ok := config.Find(id); !ok {
		return 0, 0, &fault.NotFound{Kind: "replica", Name: id}
	}
	next := config.without(id)
	if !hasElectableVoter(next) {
		return 0, 0, &fault.Precondition{What: membershipChange, Reason: "no voter that can lead would remain"}
	}
	if !n.quorumActive(next) {
		return 0, 0, &fault.Precondition{
			What:   membershipChange,
			Reason: fmt.Sprintf("without replica %q the leader would not reach a quorum of the remaining voters", id),
		}
	}
	return n.proposeConfig(next)
}

// hasElectableVoter reports whether c has a voter that is not a witness.
func hasElectableVoter(c Configuration) bool {
	for _, m := range c.Members {
		if !m.Learner && !m.Witness {
			return true
		}
	}
	return false
}

// checkMembershipChange returns an error if no membership change may start now.
func (n *Node) checkMembershipChange() error {
	if n.role != Leader || n.transferee != "" {
		return n.notLeader()
	}
	if !n.committedInTerm() {
		return &fault.Precondition{What: membershipChange, Reason: "the leader has not committed an entry of its term yet"}
	}
	if index := n.log.configIndex(); index > n.log.committed {
		return &fault.Precondition{
			What: membershipChange, Reason: fmt.Sprintf("the change at index %d is not committed yet", index),
		}
	}
	return nil
}

func notCaughtUpError(id string) error {
	return &fault.Precondition{What: membershipChange, Reason: fmt.Sprintf("replica %q has not caught up yet", id)}
}

// caughtUp reports whether the member is active and holds every committed
// entry.
func (n *Node) caughtUp(id string) bool {
	p := n.progress[id]
	return p != nil && p.state == stateReplicate && p.match >= n.log.committed && n.active(id)
}

// mayAddVoter reports whether one more voter may join: either all voters are
// active, or the active ones form a quorum of the larger group without the new
// voter. Otherwise the loss of the new voter would block the group: adding one
// to 3 voters of which 1 is lost gives 4 voters with a quorum of 3.
func (n *Node) mayAddVoter() bool {
	voters := n.log.config().Voters()
	active := 0
	for _, id := range voters {
		if n.active(id) {
			active++
		}
	}
	return active == len(voters) || active >= (len(voters)+1)/2+1
}

func (n *Node) proposeConfig(c Configuration) (index, term uint64, err error) {
	data, err := c.Encode()
	if err != nil {
		return 0, 0, err
	}
	return n.appendAsLeader(Entry{Type: EntryConfig, Data: data}), n.hard.Term, nil
}

// promoteLearner makes the learner a voter once it holds every committed entry,
// so that it does not slow down or block the quorum that it joins.
func (n *Node) promoteLearner() {
	id, ok := n.log.config().learner()
	if !ok || n.checkMembershipChange() != nil || !n.caughtUp(id) || !n.mayAddVoter() {
		return
	}
	if _, _, err := n.proposeConfig(n.log.config().withUpdated(id, func(m *Member) { m.Learner = false })); err != nil {
		n.fatalErr = err
	}
}

// TransferLeadership starts a leadership transfer to the active voter with the
// longest log and returns its id. Until the transfer ends, or is abandoned
// after one election timeout, proposals return *fault.NotLeader. Errors:
// *fault.NotLeader, *fault.Precondition if no voter can take over.
func (n *Node) TransferLeadership() (string, error) {
	if n.role != Leader {
		return "", n.notLeader()
	}
	if n.transferee != "" {
		return n.transferee, nil
	}
	best := ""
	for _, m := range n.log.config().Members {
		if m.Learner || m.Witness || m.ID == n.id || !n.active(m.ID) {
			continue
		}
		if best == "" || n.progress[m.ID].match > n.progress[best].match {
			best = m.ID
		}
	}
	if best == "" {
		return "", &fault.Precondition{What: "leadership transfer", Reason: "no other voter that can lead is reachable"}
	}
	n.transferee, n.transferElapsed = best, 0
	n.finishTransfer()
	return best, nil
}

// finishTransfer sends MsgTimeoutNow to the transferee once it holds the whole
// log.
func (n *Node) finishTransfer() {
	if p := n.progress[n.transferee]; p != nil && p.match == n.log.last() {
		n.send(Message{Type: MsgTimeoutNow, To: n.transferee})
	}
}
