package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// checkHosts checks the list of entry hosts and this host's entry in it.
func checkHosts(c *checker, s *Settings) {
	names := make(map[string]string)
	addresses := make(map[string]string)
	for i, h := range s.Hosts {
		path := fmt.Sprintf("hosts[%d]", i)
		checkUnique(c, names, path+".name", h.Name)
		checkUnique(c, addresses, path+".peer", h.Peer)
		checkUnique(c, addresses, path+".operator", h.Operator)
		if h.DataCentre == RegionGroup {
			c.report(path+".data_centre", "is the name of the region group", "another name")
		}
	}
	if len(s.Hosts) == 0 {
		c.report("hosts", "is missing", "all entry hosts of the region")
		return
	}
	self, ok := s.Entry(s.Host)
	if !ok {
		if s.Host != "" {
			c.report("host", fmt.Sprintf("%q is not in the host list", s.Host), "a name from [[hosts]]")
		}
		return
	}
	if self.DataCentre != s.DataCentre {
		c.report("data_centre", fmt.Sprintf("%q differs from the host list", s.DataCentre), fmt.Sprintf("%q", self.DataCentre))
	}
	if self.HasDisk && s.DataFolder == "" {
		c.report("data_folder", "is empty, but the host list gives this host a disk", "a path, or has_disk = false")
	}
	if !self.HasDisk && s.DataFolder != "" {
		c.report("data_folder", "is set, but the host list gives this host no disk", "empty, or has_disk = true")
	}
	if s.Bootstrap && s.DataFolder == "" {
		c.report("bootstrap", "needs a disk", "true only with a data_folder")
	}
}

func checkUnique(c *checker, seen map[string]string, key, value string) {
	if value == "" {
		return
	}
	if first, ok := seen[value]; ok {
		c.report(key, fmt.Sprintf("%q is already used by %s", value, first), "a value of its own")
		return
	}
	seen[value] = key
}

// checkGroups checks the members of every group.
func checkGroups(c *checker, s *Settings) {
	names := make(map[string]string)
	centres := s.DataCentres()
	for i := range s.Groups {
		g := &s.Groups[i]
		path := fmt.Sprintf("groups[%d]", i)
		checkUnique(c, names, path+".name", g.Name)
		if g.Name != RegionGroup && !slices.Contains(centres, g.Name) && g.Name != "" {
			allowed := strings.Join(append([]string{RegionGroup}, centres...), ", ")
			c.report(path+".name", fmt.Sprintf("%q is neither the region nor a data centre", g.Name), allowed)
		}
		checkMembers(c, s, g, path)
	}
	for _, name := range append([]string{RegionGroup}, centres...) {
		if _, ok := names[name]; !ok && name != "" {
			c.report("groups", fmt.Sprintf("has no group %q", name), "one group for the region and one for each data centre")
		}
	}
}

func checkMembers(c *checker, s *Settings, g *Group, path string) {
	seen := make(map[string]string)
	members := append(slices.Clone(g.Voters), g.Witnesses...)
	for i, name := range members {
		key := path + ".voters"
		if i >= len(g.Voters) {
			key = path + ".witnesses"
		}
		if first, ok := seen[name]; ok {
			c.report(key, fmt.Sprintf("%q is already in %s", name, first), "each host once")
			continue
		}
		seen[name] = key
		checkMember(c, s, g, key, name)
	}
	if len(g.Voters) == 0 {
		if c.reported(path + ".voters") {
			return
		}
		c.report(path+".voters", "is missing", "at least one host with a disk")
		return
	}
	switch size := len(members); {
	case size == 1 && !g.SingleDisk:
		c.report(path+".voters", "has one replica, which loses acknowledged entries with its disk",
			"3, 5 or 7 voters and witnesses, or single_disk = true")
	case size%2 == 0 || size > 7:
		// An even size tolerates no more failures than the odd size below it.
		c.report(path+".voters", fmt.Sprintf("has %d voters and witnesses", size), "1, 3, 5 or 7")
	case size > 1 && g.SingleDisk:
		c.report(path+".single_disk", fmt.Sprintf("is set for %d replicas", size), "true only for a group with one replica")
	}
}

func checkMember(c *checker, s *Settings, g *Group, key, name string) {
	host, ok := s.Entry(name)
	if !ok {
		c.report(key, fmt.Sprintf("%q is not in the host list", name), "names from [[hosts]]")
		return
	}
	if !host.HasDisk {
		c.report(key, fmt.Sprintf("%q has no disk", name), "hosts with has_disk = true")
	}
	if g.Name == RegionGroup {
		return
	}
	if strings.HasSuffix(key, ".witnesses") {
		if host.DataCentre == g.Name {
			c.report(key, fmt.Sprintf("%q is in the group's own data centre", name), "hosts of other data centres")
		}
		return
	}
	if host.DataCentre != g.Name && centreHasDisk(s, g.Name) {
		c.report(key, fmt.Sprintf("%q is in data centre %q", name, host.DataCentre),
			fmt.Sprintf("hosts of %q, because it has a host with a disk", g.Name))
	}
}

func centreHasDisk(s *Settings, centre string) bool {
	return slices.ContainsFunc(s.Hosts, func(h Host) bool { return h.DataCentre == centre && h.HasDisk })
}

// checkListeners checks that no two listeners have overlapping addresses. An
// unspecified IP such as 0.0.0.0 uses its port on every IP.
func checkListeners(c *checker, s *Settings) {
	listeners := []struct{ key, address string }{
		{"listen.caller", s.Listen.Caller},
		{"listen.target", s.Listen.Target},
		{"listen.operator", s.Listen.Operator},
		{"listen.peer", s.Listen.Peer},
		{"listen.diagnostics", s.Listen.Diagnostics},
	}
	for i, a := range listeners {
		for _, b := range listeners[:i] {
			if addressesOverlap(a.address, b.address) {
				c.report(a.key, fmt.Sprintf("%s is already used by %s (%s)", a.address, b.key, b.address), "an address of its own")
			}
		}
	}
}

func addressesOverlap(a, b string) bool {
	x, errX := netip.ParseAddrPort(a)
	y, errY := netip.ParseAddrPort(b)
	if errX != nil || errY != nil || x.Port() != y.Port() {
		return false
	}
	return x.Addr() == y.Addr() || x.Addr().IsUnspecified() || y.Addr().IsUnspecified()
}

// messageOverhead is the size reserved for the fields of a message besides
// payload and answer, in bytes.
const messageOverhead = 64 << 10

// checkRelations checks settings whose valid range depends on other settings.
func checkRelations(c *checker, s *Settings) {
	l, t, p := &s.Limits, &s.Timing, &s.Policy
	if need := l.PayloadBytes + l.AnswerBytes + messageOverhead; l.MessageBytes < need {
		c.report("limits.message_bytes", fmt.Sprintf("%d is too small for a payload and an answer", l.MessageBytes),
			fmt.Sprintf("at least %d", need))
	}
	if l.LedgerRequests < l.QueueRequests {
		c.report("limits.ledger_requests", fmt.Sprintf("%d is less than queue_requests", l.LedgerRequests),
			fmt.Sprintf("at least %d", l.QueueRequests))
	}
	if l.KeyRetention < l.AnswerRetention {
		c.report("limits.key_retention", formatDuration(l.KeyRetention)+" is less than answer_retention",
			"at least "+formatDuration(l.AnswerRetention))
	}
	if t.SilenceLimit <= t.PollWait {
		c.report("timing.silence_limit", formatDuration(t.SilenceLimit)+" is not above poll_wait, so every idle poll would look silent",
			"more than "+formatDuration(t.PollWait))
	}
	if t.Lease < t.SilenceLimit {
		c.report("timing.lease", formatDuration(t.Lease)+" is less than silence_limit, so one silent connection would lose the host",
			"at least "+formatDuration(t.SilenceLimit))
	}
	if p.MovesWeight == 0 && p.BufferWeight == 0 && p.RolloutWeight == 0 {
		c.report("policy", "has no weight above 0", "at least one weight above 0")
	}
}
