package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"dogwoodlanding.example/dogwood/pkg/conf"
	"dogwoodlanding.example/dogwood/pkg/spread"
	"github.com/cockroachdb/errors"
)

// maxWatchWait is how long the platform may wait for a new revision before it answers a
// watch.
const maxWatchWait = 20 * time.Second

// maxResponseBytes bounds a response of the platform.
const maxResponseBytes = 256 << 20

// Platform is a client of the platform, the service that holds the configuration. It is
// not the platform of package platform.
type Platform struct {
	URL    string       // base URL, without a slash at the end
	Client *http.Client // nil means http.DefaultClient
}

// PlatformChange is the platform's answer to a watch.
type PlatformChange struct {
	Revision uint64
	From     uint64 // revision that the change applies to; 0 if Files are all files
	Files    []PlatformFile
	Removed  []string // names of removed files
}

// PlatformFile is one configuration file.
type PlatformFile struct {
	Name    string
	Content string
}

// Watch waits for a revision after the given one and returns the change to it. If there
// is none within maxWatchWait, the change has the current revision and no files.
func (p Platform) Watch(ctx context.Context, after uint64) (spread.Change, error) {
	ctx, cancel := context.WithTimeout(ctx, maxWatchWait+5*time.Second)
	defer cancel()
	url := fmt.Sprintf("%s/v1/config?after=%d&wait=%d", p.URL, after, maxWatchWait.Milliseconds())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return spread.Change{}, errors.Wrap(err, "create watch request")
	}
	client := p.Client
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return spread.Change{}, errors.Wrap(err, "watch the platform")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return spread.Change{}, errors.Newf("the platform returned status %s", response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return spread.Change{}, errors.Wrap(err, "read the platform's response")
	}
	var answer PlatformChange
	if err := decodeJSON(body, &answer); err != nil {
		return spread.Change{}, err
	}
	return answer.toChange(), nil
}

// toChange converts the answer to the type that package spread uses.
func (c PlatformChange) toChange() spread.Change {
	out := spread.Change{From: c.From, Revision: c.Revision, Removed: c.Removed}
	for _, file := range c.Files {
		out.Written = append(out.Written, conf.File{Name: file.Name, Content: []byte(file.Content)})
	}
	return out
}

// decodeJSON decodes JSON into the value that into points to.
func decodeJSON(raw []byte, into any) error {
	return errors.Wrap(json.Unmarshal(raw, into), "decode JSON")
}
