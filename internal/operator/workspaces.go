package operator

import (
	"context"

	"github.com/go-faster/errors"

	"celerybank/internal/orders"
	"celerybank/internal/routes"
)

// Workspace describes a workspace of the newest configuration. It has no key.
type Workspace struct {
	Name string `json:"name"`
	// Keys is the number of keys in force. Priority is nil if that of the route applies.
	Keys     int  `json:"keys"`
	Priority *int `json:"priority"`
}

// OrderSource reads and decodes the operator's records.
type OrderSource interface {
	orders.Source
	orders.Decoder
}

// Workspaces returns the workspaces of the newest configuration, nil if that has none.
func Workspaces(ctx context.Context, source OrderSource) ([]Workspace, error) {
	newest, err := source.Newest(ctx)
	if err != nil {
		return nil, err
	}
	var config *routes.Config
	for _, r := range newest.Records {
		order, err := source.Decode(r)
		if err != nil {
			return nil, errors.Wrap(err, r.Key)
		}
		if order.Config != nil {
			config = order.Config
		}
	}
	if config == nil {
		return nil, errors.New("the store has no configuration")
	}
	if config.Workspaces == nil {
		return nil, nil
	}
	out := make([]Workspace, 0, len(config.Workspaces))
	for _, w := range config.Workspaces {
		out = append(out, Workspace{Name: w.Name, Keys: len(w.Keys), Priority: w.Priority})
	}
	return out, nil
}
