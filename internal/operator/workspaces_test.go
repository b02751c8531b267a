package operator

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"celerybank/internal/orders"
	"celerybank/platform"
	"celerybank/platform/counterpart"
)

// configSource has one configuration.
type configSource struct {
	*platform.Operator
	record []byte
}

func (s configSource) Newest(context.Context) (orders.Batch, error) {
	value := s.record[1+len(platform.KeyConfig):]
	return orders.Batch{Full: true, Next: 1, Records: []orders.Record{{Key: platform.KeyConfig, Value: value}}}, nil
}

func (s configSource) Read(context.Context, int64, time.Duration) (orders.Batch, bool, error) {
	return orders.Batch{}, false, nil
}

// What operators see of workspaces must not have a key.
func TestWorkspacesAreListedWithoutKeys(t *testing.T) {
	priority := 3
	list := []counterpart.Workspace{{Name: "pulo780", Keys: []string{"secret1", "secret2"}, Priority: &priority}, {Name: "kabo51"}}
	record := counterpart.WorkspaceConfig(1, "h", []counterpart.Route{{Prefix: "/a/", Service: "s"}}, []string{"s"}, 1, list)
	got, err := Workspaces(t.Context(), configSource{platform.NewOperator(nil), record})
	text, _ := json.Marshal(got) // a struct of strings and numbers
	if want := `[{"name":"pulo780","keys":2,"priority":3},{"name":"kabo51","keys":0,"priority":null}]`; err != nil || string(text) != want {
		t.Errorf("got %s, error %v; want %s", text, err, want)
	}
	list[1].Keys = []string{"secret1"}
	record = counterpart.WorkspaceConfig(1, "h", []counterpart.Route{{Prefix: "/a/", Service: "s"}}, []string{"s"}, 1, list)
	if _, err = Workspaces(t.Context(), configSource{platform.NewOperator(nil), record}); err == nil || strings.Contains(err.Error(), "secret") {
		t.Errorf("invalid configuration: got error %v, want one without a key", err)
	}
}
