package settings

import (
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// Check loads the settings at path, checks the files that they refer to and
// writes a summary with warnings to out. It starts nothing and creates no files.
// It returns the error of Load, or *RefusedError if a referenced file is
// unusable.
func Check(path string, out io.Writer) error {
	s, err := Load(path)
	if err != nil {
		return err
	}
	c := &checker{}
	checkTLSFiles(c, "tls.peer", &s.TLS.Peer)
	checkTLSFiles(c, "tls.target", &s.TLS.Target)
	checkTLSFiles(c, "tls.operator", &s.TLS.Operator)
	if s.DataFolder != "" {
		// The folder may be absent, since the daemon creates it; any other
		// error is a problem.
		if info, err := os.Stat(s.DataFolder); err == nil && !info.IsDir() {
			c.report("data_folder", s.DataFolder+" is not a folder", "a folder, or a path that does not exist yet")
		} else if err != nil && !os.IsNotExist(err) {
			c.report("data_folder", err.Error(), "a folder that this user can read")
		}
	}
	if s.Log.File != "" {
		if info, err := os.Stat(filepath.Dir(s.Log.File)); err != nil || !info.IsDir() {
			c.report("log.file", "its folder does not exist", "a path in an existing folder, or empty")
		}
	}
	if len(c.problems) > 0 {
		return &RefusedError{Path: path, Problems: c.sortedProblems()}
	}
	return writeSummary(s, path, out)
}

func checkTLSFiles(c *checker, key string, f *TLSFiles) {
	if _, err := f.ServerConfig(); err != nil {
		c.report(key, err.Error(), "")
		return
	}
	if _, err := f.ClientConfig(); err != nil {
		c.report(key, err.Error(), "")
	}
}

func writeSummary(s *Settings, path string, out io.Writer) error {
	text := fmt.Sprintf("settings %s accepted: host %s in data centre %s, entry hosts: %d, groups: %d\n",
		path, s.Host, s.DataCentre, len(s.Hosts), len(s.Groups))
	for _, warning := range s.Warnings() {
		text += "warning: " + warning + "\n"
	}
	_, err := io.WriteString(out, text)
	return eris.Wrap(err, "write summary")
}

// Warnings describes settings that are valid but may not be intended.
func (s *Settings) Warnings() []string {
	var out []string
	for _, l := range []struct {
		key, address string
		files        *TLSFiles
	}{
		{"target", s.Listen.Target, &s.TLS.Target},
		{"operator", s.Listen.Operator, &s.TLS.Operator},
		{"peer", s.Listen.Peer, &s.TLS.Peer},
	} {
		address, err := netip.ParseAddrPort(l.address)
		if err == nil && !address.Addr().IsLoopback() && !l.files.Enabled() {
			out = append(out, fmt.Sprintf("listen.%s is open to the network without TLS", l.key))
		}
	}
	for i := range s.Groups {
		if s.Groups[i].SingleDisk {
			out = append(out, fmt.Sprintf("group %s has one replica and loses acknowledged entries with its disk", s.Groups[i].Name))
		}
	}
	if s.Platform.Address == "" {
		out = append(out, "platform.address is empty, so waves cannot reboot hosts")
	}
	return out
}
