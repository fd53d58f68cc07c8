package instance

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// retryDelay is the pause after a failed replication request.
const retryDelay = 20 * time.Millisecond

// runReplication fetches the log of the source while the instance is a replica. With
// Options.Rebuild it rewinds an instance that cannot follow its source otherwise.
func (i *Instance) runReplication() {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i.ctx.Err() == nil {
		changed := i.engine.Changed()
		if source, needed := i.engine.NeedsRewind(); needed && i.options.Rebuild {
			if err := i.Rewind(i.ctx, source); err != nil {
				i.options.Log.Debug().Err(err).Str("source", source).Msg("rewind failed")
				_ = sleepFor(i.ctx, retryDelay)
			}
			continue
		}
		link, after, ok := i.engine.Link()
		if !ok {
			select {
			case <-changed:
			case <-i.ctx.Done():
			}
			continue
		}
		if err := i.fetch(client, link, after); err != nil {
			i.options.Log.Debug().Err(err).Str("source", link.Source).Msg("replication request failed")
			_ = sleepFor(i.ctx, retryDelay)
		}
	}
}

// fetch performs one replication request. The request ends early when the
// replication settings change.
func (i *Instance) fetch(client *http.Client, link Link, after LogPoint) error {
	ctx, cancel := context.WithCancel(i.ctx)
	defer cancel()
	go i.cancelWhenLinkEnds(ctx, cancel, link)
	query := url.Values{
		"position": {after.Position.String()},
		"timeline": {strconv.FormatUint(uint64(after.Timeline), 10)},
		"origin":   {after.Origin},
	}
	if !i.engine.State().Streaming {
		// The first answer confirms that the source continues the log. It must
		// not wait for a new record.
		query.Set("wait", "no")
	}
	var records []Record
	status, err := getJSON(ctx, client, link.Source, "/log?"+query.Encode(), &records)
	if status == http.StatusConflict {
		i.engine.MarkDiverged(link)
	}
	if err != nil {
		return err
	}
	i.engine.Receive(i.now(), link, after, records)
	return nil
}

// cancelWhenLinkEnds cancels a request when its link ends.
func (i *Instance) cancelWhenLinkEnds(ctx context.Context, cancel func(), link Link) {
	for ctx.Err() == nil {
		changed := i.engine.Changed()
		if current, _, ok := i.engine.Link(); !ok || current != link {
			cancel()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// fetchSegments returns the timelines of the source's log.
func fetchSegments(ctx context.Context, source string) ([]Segment, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var segments []Segment
	_, err := getJSON(ctx, client, source, "/segments", &segments)
	return segments, err
}

// getJSON sends a GET request to a source, decodes the answer into body and returns the
// status. The address names its control listener, or its database listener by a libpq
// connection string.
func getJSON(ctx context.Context, client *http.Client, address, path string, body any) (int, error) {
	host, err := sourceHost(address)
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+path, nil)
	if err != nil {
		return 0, fmt.Errorf("replication request: %w", err)
	}
	answer, err := client.Do(request)
	if err != nil {
		return 0, fmt.Errorf("replication request: %w", err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return answer.StatusCode, eris.Errorf("replication request: %s", answer.Status)
	}
	if err := json.NewDecoder(answer.Body).Decode(body); err != nil {
		return answer.StatusCode, fmt.Errorf("replication answer: %w", err)
	}
	return answer.StatusCode, nil
}
