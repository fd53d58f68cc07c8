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

// retryTime is the pause after a failed replication request.
const retryTime = 20 * time.Millisecond

// follow fetches the log of the source while the instance is a replica.
func (i *Instance) follow() {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i.ctx.Err() == nil {
		changed := i.engine.Changed()
		if source, due := i.engine.NeedsRewind(); due && i.options.Rebuild {
			if err := i.Rewind(i.ctx, source); err != nil {
				i.options.Log.Debug().Err(err).Str("source", source).Msg("rewind failed")
				_ = sleepFor(i.ctx, retryTime)
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
			_ = sleepFor(i.ctx, retryTime)
		}
	}
}

// fetch performs one replication request. The request ends early when the
// replication settings change.
func (i *Instance) fetch(client *http.Client, link Link, after Mark) error {
	ctx, cancel := context.WithCancel(i.ctx)
	defer cancel()
	go i.cancelWithLink(ctx, cancel, link)
	query := url.Values{
		"position": {after.Position.String()},
		"timeline": {strconv.FormatUint(uint64(after.Timeline), 10)},
		"origin":   {after.Origin},
	}
	if !i.engine.State().Streaming {
		// The first answer shows that the source continues the log; it must
		// not wait for a new record.
		query.Set("wait", "no")
	}
	var records []Record
	status, err := get(ctx, client, link.Source, "/log?"+query.Encode(), &records)
	if status == http.StatusConflict {
		i.engine.Refuse(link)
	}
	if err != nil {
		return err
	}
	i.engine.Receive(i.now(), link, after, records)
	return nil
}

// cancelWithLink cancels a request when its link ends.
func (i *Instance) cancelWithLink(ctx context.Context, cancel func(), link Link) {
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
	_, err := get(ctx, client, source, "/segments", &segments)
	return segments, err
}

// get performs a GET request on a control listener and returns its status.
func get(ctx context.Context, client *http.Client, address, path string, body any) (int, error) {
	host, err := sourceHost(address)
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+path, nil)
	if err != nil {
		return 0, fmt.Errorf("control request: %w", err)
	}
	answer, err := client.Do(request)
	if err != nil {
		return 0, fmt.Errorf("control request: %w", err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return answer.StatusCode, eris.Errorf("control request: %s", answer.Status)
	}
	if err := json.NewDecoder(answer.Body).Decode(body); err != nil {
		return answer.StatusCode, fmt.Errorf("control answer: %w", err)
	}
	return answer.StatusCode, nil
}
