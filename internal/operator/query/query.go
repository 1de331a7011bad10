// Package query serves the operators' queries over HTTP. A query returns the
// state of the hosts and data centres that were reached and lists the others.
package query

import (
	"context"

	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/peer"
)

// Backend reads the state of the region. Queries that span processes or data
// centres return the state of those that were reached and list the others; they
// fail only if none was reached.
type Backend interface {
	// Records returns the records of the region group.
	Records(ctx context.Context) (*model.Records, error)
	// RecordsInForce returns the records in force in this process. It also works
	// while the region group cannot be reached.
	RecordsInForce(ctx context.Context) (*model.Records, error)
	// DataCentres returns every data centre's state with up to the given
	// number of requests each, newest first.
	DataCentres(ctx context.Context, requests int) (*DataCentres, error)
	// Request returns one request from its home ledger.
	Request(ctx context.Context, key string) (*model.Request, error)
	GroupStatuses(ctx context.Context) (*GroupStatuses, error)
	InForce(ctx context.Context) (*InForce, error)
	// Events returns the merged events of all processes.
	Events(ctx context.Context, f event.Filter) (*Events, error)
}

// DataCentres is the state of the data centres that were reached.
type DataCentres struct {
	DataCentres []peer.DataCentreResponse `json:"data_centres"`
	Unreachable []string                  `json:"unreachable"` // data centres
}

// GroupStatuses is the state of the replicas of all processes.
type GroupStatuses struct {
	Processes   []peer.GroupStatusResponse `json:"processes"`
	Unreachable []string                   `json:"unreachable"` // entry hosts
}

// InForce is the revision in force in all processes.
type InForce struct {
	Processes   []peer.InForceResponse `json:"processes"`
	Unreachable []string               `json:"unreachable"` // entry hosts
}

// Events are events in causal order.
type Events struct {
	Events      []event.Event `json:"events"`
	Unreachable []string      `json:"unreachable"` // entry hosts
}

// Status summarises the region.
type Status struct {
	// Revision of the records; RecordsError says why it is not known.
	Revision     uint64                     `json:"revision"`
	RecordsError string                     `json:"records_error,omitempty"`
	Processes    []peer.InForceResponse     `json:"processes"`
	Replicas     []peer.GroupStatusResponse `json:"replicas"`
	Unreachable  []string                   `json:"unreachable"` // entry hosts
}

// PoolRow is one pool in one data centre.
type PoolRow struct {
	Pool       string                  `json:"pool"`
	DataCentre string                  `json:"data_centre"`
	Floor      int                     `json:"floor"`
	Available  int                     `json:"available"`
	Hosts      int                     `json:"hosts"`
	ByState    map[model.HostState]int `json:"by_state"`
	Queued     int                     `json:"queued"`
	Running    int                     `json:"running"`
	Spare      bool                    `json:"spare,omitempty"`
}

// Pools lists pools by data centre.
type Pools struct {
	Revision    uint64    `json:"revision"`
	Pools       []PoolRow `json:"pools"`
	Unreachable []string  `json:"unreachable"` // data centres
}

// Hosts lists hosts by data centre and name.
type Hosts struct {
	Hosts       []model.Host `json:"hosts"`
	Unreachable []string     `json:"unreachable"` // data centres
}

// WaveRow is one wave: its record and its progress.
type WaveRow struct {
	Name     string               `json:"name"`
	Spec     model.Wave           `json:"spec"`
	Progress []model.WaveProgress `json:"progress"`
	// Hosts counts the hosts of the wave's pool by data centre.
	Hosts map[string]int `json:"hosts"`
}

// Waves lists waves by name.
type Waves struct {
	Revision    uint64    `json:"revision"`
	Waves       []WaveRow `json:"waves"`
	Unreachable []string  `json:"unreachable"` // data centres
}

// Requests lists requests, newest first, without payloads and answers.
type Requests struct {
	Requests    []model.Request `json:"requests"`
	Unreachable []string        `json:"unreachable"` // data centres
}

// Explanation describes what was decided about an object, by whom and why.
type Explanation struct {
	Sentences   []string `json:"sentences"`
	Unreachable []string `json:"unreachable"` // data centres and entry hosts
}
