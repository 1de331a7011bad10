// Package deps keeps the declared modules in go.mod while the packages that
// use them are being added.
package deps

import (
	_ "connectrpc.com/connect"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/go-kit/kit/transport/http"
	_ "github.com/google/subcommands"
	_ "github.com/google/uuid"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/rs/zerolog"
	_ "golang.org/x/net/http2"
	_ "golang.org/x/sync/errgroup"
	_ "pgregory.net/rapid"
)
