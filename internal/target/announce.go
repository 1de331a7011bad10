package target

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/httpapi"
)

const (
	// maxAnnouncementBytes has room for the running attempts and usage of a
	// target with many slots.
	maxAnnouncementBytes = 256 << 10
	maxNameBytes         = 128
	// Targets announce themselves every second; an idle connection is closed
	// after several missed announcements.
	announceHeaderTimeout = 5 * time.Second
	announceReadTimeout   = 10 * time.Second
	announceIdleTimeout   = 30 * time.Second
)

// AnnounceService handles announcements of targets.
type AnnounceService interface {
	// Announce records an announcement and returns the lease granted.
	Announce(ctx context.Context, a Announcement) (time.Duration, error)
}

// NewAnnounceServer returns the HTTP handler of the targets' listener.
func NewAnnounceServer(svc AnnounceService) http.Handler {
	endpoint := func(ctx context.Context, request any) (any, error) {
		lease, err := svc.Announce(ctx, request.(Announcement))
		if err != nil {
			return nil, err
		}
		return AnnounceReply{LeaseMS: lease.Milliseconds()}, nil
	}
	mux := http.NewServeMux()
	httpapi.Handle(mux, "POST /v1/announce", endpoint, decodeAnnouncement)
	return mux
}

// NewAnnounceHTTPServer returns the HTTP server of the targets' listener.
func NewAnnounceHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: announceHeaderTimeout,
		ReadTimeout: announceReadTimeout, IdleTimeout: announceIdleTimeout,
	}
}

func decodeAnnouncement(_ context.Context, r *http.Request) (any, error) {
	var a Announcement
	if err := httpapi.DecodeTolerant(r, maxAnnouncementBytes, &a); err != nil {
		return nil, err
	}
	for _, f := range [][2]string{{"host", a.Name}, {"data_centre", a.DataCentre}, {"incarnation", a.Incarnation}} {
		if f[1] == "" || len(f[1]) > maxNameBytes {
			return nil, &fault.Invalid{Field: f[0], Reason: "missing or too long"}
		}
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return nil, &fault.Invalid{Field: "address", Reason: err.Error(), Allowed: "IP:port"}
	}
	if a.Slots < 0 || a.Connections < 0 || a.CPUMillis < 0 || a.MemoryMB < 0 || a.Accelerators < 0 {
		return nil, &fault.Invalid{Field: "capacity", Reason: "negative"}
	}
	return a, nil
}
