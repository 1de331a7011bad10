// Command agatehaven-standin simulates several targets and the platform on
// loopback, for tests and local trials.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/testsupport/standin"
)

func main() {
	cfg := parseFlags()
	log := zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr, NoColor: true, TimeFormat: time.RFC3339Nano}).With().Timestamp().Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	fleet, err := standin.Start(cfg)
	if err != nil {
		log.Error().Err(err).Msg("cannot start")
		stop()
		os.Exit(1)
	}
	for _, t := range fleet.Targets() {
		info := t.Info()
		log.Info().Str("host", info.Name).Str("address", info.Address).Str("pool", info.Pool).
			Str("rack", info.Rack).Msg("target listens")
	}
	log.Info().Str("address", fleet.ControlAddress()).Msg("platform listens")
	<-ctx.Done()
	fleet.Close()
}

func parseFlags() standin.Config {
	var cfg standin.Config
	var racks, pools, entryHosts string
	flag.StringVar(&cfg.Control, "control", "127.0.0.1:0", "`address` of the platform, POST /v1/faults and GET /v1/runs")
	flag.StringVar(&cfg.IP, "ip", "127.0.0.1", "`IP` address of the targets' listeners")
	flag.IntVar(&cfg.BasePort, "base-port", 0, "`port` of the first target; the others follow; 0 lets the system choose")
	flag.IntVar(&cfg.Targets, "targets", 8, "`number` of targets")
	flag.StringVar(&cfg.DataCentre, "data-centre", "dc1", "`name` of the data centre")
	flag.StringVar(&racks, "racks", "r1,r2", "comma-separated `names` of racks")
	flag.StringVar(&pools, "pools", "default", "comma-separated `names` of pools, given to the targets in turn")
	flag.StringVar(&entryHosts, "entry-hosts", "", "comma-separated `addresses` of the daemons' target listeners")
	flag.BoolVar(&cfg.NoRevoke, "no-revoke", false, "do not offer the capability to revoke")
	flag.IntVar(&cfg.Slots, "slots", 8, "`number` of tasks that a target runs at once")
	flag.DurationVar(&cfg.RunTime, "run-time", 100*time.Millisecond, "run `time` of tasks whose payload names none")
	flag.DurationVar(&cfg.RebootTime, "reboot-time", 500*time.Millisecond, "`time` that a rebooted target is away")
	flag.DurationVar(&cfg.UsageLag, "usage-lag", 2*time.Second, "`age` of reported usage")
	flag.Parse()
	cfg.Racks, cfg.Pools, cfg.EntryHosts = split(racks), split(pools), split(entryHosts)
	return cfg
}

func split(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}
