package upstream

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// postTimeout is the timeout of one request to the node on the host.
const postTimeout = time.Second

// PostJSON sends body, which is JSON, to url. A response with status 400 or above is an error.
func PostJSON(ctx context.Context, url string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, postTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("%s: %s", url, resp.Status)
	}
	return nil
}
