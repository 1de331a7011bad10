package ctl

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"sort"
	"strings"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/operator/query"
	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/replica"
)

func replicasCommand(a *app) *commandGroup {
	return &commandGroup{
		app: a, name: "replicas", synopsis: "show and change the replicas of the groups",
		children: []*subcommand{replicasStatusCommand(a), replicasAddCommand(a), replicasRemoveCommand(a)},
	}
}

func replicasStatusCommand(a *app) *subcommand {
	return &subcommand{
		app: a, name: "status", synopsis: "show every replica",
		help: "Shows the replicas that each process runs, and members that no process runs.",
		run: func(ctx context.Context, _ []string) error {
			statuses, err := fetch[query.GroupStatuses](ctx, a, "/v1/replicas", nil)
			if err != nil {
				return err
			}
			if err := a.print(statuses, func(t *tableWriter) { replicaTable(t, statuses.Processes) }); err != nil {
				return err
			}
			return checkReached(statuses.Unreachable)
		},
	}
}

func replicaTable(t *tableWriter, processes []peer.GroupStatusResponse) {
	t.row("GROUP", "REPLICA", "ROLE", "MEMBER", "TERM", "APPLIED", "COMMITTED", "REASON")
	groups := groupViews(processes)
	for i := range groups {
		g := &groups[i]
		running := make(map[string]bool)
		for j := range g.replicas {
			r := &g.replicas[j]
			running[r.ID] = true
			t.row(g.name, r.ID, r.Role, g.memberRole(r.ID), r.Term, r.Applied, r.Committed, r.Reason)
		}
		for _, m := range g.members {
			if !running[m.ID] {
				t.row(g.name, m.ID, "", g.memberRole(m.ID), "", "", "", "no process that was reached runs this member")
			}
		}
	}
}

// groupView is the state of one raft group merged from the reports of all
// reached processes.
type groupView struct {
	name     string
	leader   string
	term     uint64
	members  []replica.Member // of the latest configuration seen
	replicas []replica.Status
}

func (g *groupView) memberRole(id string) string {
	for _, m := range g.members {
		if m.ID == id {
			switch {
			case m.Learner:
				return "learner"
			case m.Witness:
				return "witness"
			}
			return "voter"
		}
	}
	return "no member"
}

// groupViews merges the reports by group. Members and term come from the leader
// of the highest term or, if no leader was reached, from the replica with the
// highest applied index.
func groupViews(processes []peer.GroupStatusResponse) []groupView {
	byName := make(map[string]*groupView)
	for i := range processes {
		for _, s := range processes[i].Groups {
			g := byName[s.Group]
			if g == nil {
				g = &groupView{name: s.Group}
				byName[s.Group] = g
			}
			g.replicas = append(g.replicas, s)
		}
	}
	out := make([]groupView, 0, len(byName))
	for _, g := range byName {
		best := &g.replicas[0]
		for i := range g.replicas {
			if preferStatus(&g.replicas[i], best) {
				best = &g.replicas[i]
			}
		}
		g.members, g.term = best.Members, best.Term
		if best.Role == replica.RoleLeader {
			g.leader, _, _ = strings.Cut(best.ID, "#")
		}
		sort.Slice(g.replicas, func(i, j int) bool { return g.replicas[i].ID < g.replicas[j].ID })
		out = append(out, *g)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out
}

// preferStatus reports whether a is a better source for the state of its group
// than b.
func preferStatus(a, b *replica.Status) bool {
	leads, other := a.Role == replica.RoleLeader, b.Role == replica.RoleLeader
	switch {
	case leads != other:
		return leads
	case leads:
		return a.Term > b.Term
	}
	return a.Applied > b.Applied
}

func replicasAddCommand(a *app) *subcommand {
	var m replica.Member
	var group string
	return &subcommand{
		app: a, name: "add", synopsis: "add the replica of a host as a learner",
		help: `
Adds a replica, for instance after a host lost its disk: the host then has a
new replica id, and the old one must be removed. The replica becomes a voter
once it has caught up; until then another change of the group is refused.
`,
		flags: func(f *flag.FlagSet) {
			f.StringVar(&group, "group", "", "the `group`: region or a data centre; required")
			f.StringVar(&m.Host, "host", "", "the entry `host`; required")
			f.StringVar(&m.ID, "id", "", "replica `id` <host>#<incarnation> (default: read from the host)")
			f.BoolVar(&m.Witness, "witness", false, "the replica votes but never leads")
		},
		run: func(ctx context.Context, _ []string) error {
			if group == "" || m.Host == "" {
				return &UsageError{Reason: "replicas add needs a group and a host", Next: "add -group GROUP -host HOST"}
			}
			if m.ID == "" {
				id, err := a.replicaID(ctx, group, m.Host)
				if err != nil {
					return err
				}
				m.ID = id
			}
			return a.changeReplicas(ctx, &peer.ChangeReplicasRequest{Group: group, Action: peer.ReplicaAdd, Member: m})
		},
	}
}

// replicaID looks up the id of the replica of a group that a host runs. Each
// group's replica has its own id on the host's disk. A host that has just lost
// its disk reports its former id until a message from the group reaches it;
// that id must not be added again.
func (a *app) replicaID(ctx context.Context, group, host string) (string, error) {
	statuses, err := fetch[query.GroupStatuses](ctx, a, "/v1/replicas", nil)
	if err != nil {
		return "", err
	}
	what := "adding " + host + " to group " + group
	for i := range statuses.Processes {
		p := &statuses.Processes[i]
		if p.Host != host {
			continue
		}
		for j := range p.Groups {
			switch s := &p.Groups[j]; {
			case s.Group != group:
			case s.Reason == "":
				return "", &fault.Precondition{What: what, Reason: "replica " + s.ID +
					" is a member by its own state; if its disk was lost, it takes a new id once it hears from the group"}
			default:
				return s.ID, nil
			}
		}
		return "", &fault.Precondition{What: what, Reason: "the host runs no replica of the group"}
	}
	if err := checkReached(statuses.Unreachable); err != nil {
		return "", err
	}
	return "", &fault.NotFound{Kind: "entry host", Name: host}
}

func replicasRemoveCommand(a *app) *subcommand {
	var group, id string
	return &subcommand{
		app: a, name: "remove", synopsis: "remove a replica from a group",
		help: "Removes a member by its id, as shown by `agatehavenctl replicas status`.",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&group, "group", "", "the `group`: region or a data centre; required")
			f.StringVar(&id, "id", "", "replica `id` <host>#<incarnation>; required")
		},
		run: func(ctx context.Context, _ []string) error {
			host, incarnation, ok := strings.Cut(id, "#")
			if group == "" || !ok || host == "" || incarnation == "" {
				return &UsageError{
					Reason: "replicas remove needs a group and a replica id",
					Next:   "add -group GROUP -id HOST#INCARNATION; quote the id for your shell",
				}
			}
			return a.changeReplicas(ctx, &peer.ChangeReplicasRequest{
				Group: group, Action: peer.ReplicaRemove, Member: replica.Member{ID: id, Host: host},
			})
		},
	}
}

func (a *app) changeReplicas(ctx context.Context, request *peer.ChangeReplicasRequest) error {
	api, err := a.api()
	if err != nil {
		return err
	}
	var response peer.ChangeReplicasResponse
	if err := api.send(ctx, http.MethodPost, "/v1/replicas", request, &response); err != nil {
		return err
	}
	return a.print(&response, func(t *tableWriter) {
		g := groupView{members: response.Members}
		t.row("GROUP", "MEMBER", "ROLE")
		for _, m := range response.Members {
			t.row(request.Group, m.ID, g.memberRole(m.ID))
		}
	})
}

func statusCommand(a *app) *subcommand {
	return &subcommand{
		app: a, name: "status", synopsis: "show entry hosts, revisions in force and groups",
		help: "Shows the revision in force in every process, the leader of every group, and what was not reached.",
		run: func(ctx context.Context, _ []string) error {
			status, err := fetch[query.Status](ctx, a, "/v1/status", nil)
			if err != nil {
				return err
			}
			if err := a.print(status, func(t *tableWriter) { statusTable(t, status) }); err != nil {
				return err
			}
			return checkReached(status.Unreachable)
		},
	}
}

func statusTable(t *tableWriter, s *query.Status) {
	if s.RecordsError != "" {
		t.row("records not readable: " + s.RecordsError)
	} else {
		t.row(fmt.Sprintf("records at revision %d", s.Revision))
	}
	t.rows = append(t.rows, "")
	t.row("ENTRY HOST", "DATA CENTRE", "IN FORCE", "READY", "VERSION")
	for i := range s.Processes {
		p := &s.Processes[i]
		t.row(p.Host, p.DataCentre, p.Revision, yesNo(p.Ready), p.Version)
	}
	for _, host := range s.Unreachable {
		t.row(host, "", "", "not reached", "")
	}
	t.rows = append(t.rows, "")
	t.row("GROUP", "LEADER", "TERM", "MEMBERS", "RUNNING")
	groups := groupViews(s.Replicas)
	for i := range groups {
		g := &groups[i]
		leader := g.leader
		if leader == "" {
			leader = "none"
		}
		running := 0
		for j := range g.replicas {
			if g.memberRole(g.replicas[j].ID) != "no member" && g.replicas[j].Reason == "" {
				running++
			}
		}
		t.row(g.name, leader, g.term, len(g.members), running)
	}
}
