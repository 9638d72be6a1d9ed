package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/pkg/journal"
)

// Log returns the platform's log.
func (c *Client) Log() journal.Log {
	return journal.Log{Append: c.append, Read: c.read}
}

// append appends an entry to the stream. Its error is journal.ErrUnavailable only if the
// entry was certainly not appended: the request was not sent, or the platform rejected
// it with a 4xx status or with 503. Any other error is journal.ErrOutcomeUnknown.
func (c *Client) append(ctx context.Context, stream string, data []byte) (journal.Offset, error) {
	path := logPath(stream)
	resp, sent, err := c.call(ctx, http.MethodPost, path, data, c.timeout())
	switch {
	case err != nil && !sent:
		return 0, unavailable(err)
	case err != nil:
		return 0, outcomeUnknown(err)
	case resp.status == http.StatusOK:
		return parseAppend(resp.body)
	case resp.status >= 400 && resp.status < 500, resp.status == http.StatusServiceUnavailable:
		return 0, unavailable(resp.statusError(http.MethodPost, path))
	default:
		return 0, outcomeUnknown(resp.statusError(http.MethodPost, path))
	}
}

// parseAppend returns the offset from the body of a successful append. A malformed body
// is journal.ErrOutcomeUnknown, since the platform may have appended the entry.
func parseAppend(body []byte) (journal.Offset, error) {
	var answer AppendAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return 0, outcomeUnknown(errors.Wrap(err, "decode answer to an append"))
	}
	if answer.Offset <= 0 {
		return 0, outcomeUnknown(errors.Newf("answer to an append has invalid offset %d", answer.Offset))
	}
	return answer.Offset, nil
}

// read returns a page of the stream. With journal.ErrExpired, the page has no entries,
// but its First and Next are set. Any other error is journal.ErrUnavailable.
func (c *Client) read(ctx context.Context, stream string, from journal.Offset, limit int, wait time.Duration) (journal.Page, error) {
	query := url.Values{
		"From":             {strconv.FormatInt(int64(from), 10)},
		"Limit":            {strconv.Itoa(limit)},
		"WaitMilliseconds": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	path := logPath(stream)
	resp, _, err := c.call(ctx, http.MethodGet, path+"?"+query.Encode(), nil, c.timeout()+wait)
	if err != nil {
		return journal.Page{}, unavailable(err)
	}
	if resp.status != http.StatusOK && resp.status != http.StatusGone {
		return journal.Page{}, unavailable(resp.statusError(http.MethodGet, path))
	}
	page, err := parsePage(resp.body, from)
	if err != nil {
		return journal.Page{}, unavailable(err)
	}
	if resp.status == http.StatusGone {
		page.Entries = nil
		return page, errors.Wrapf(journal.ErrExpired, "offset %d of stream %q, which begins at %d", from, stream, page.First)
	}
	return page, nil
}

// parsePage decodes a page. It rejects a page whose entries are not consecutive from the
// requested offset on, so that a reader never skips one.
func parsePage(body []byte, from journal.Offset) (journal.Page, error) {
	var answer PageAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return journal.Page{}, errors.Wrap(err, "decode page of a stream")
	}
	expected := max(from, 1)
	for _, entry := range answer.Entries {
		if entry.Offset != expected {
			return journal.Page{}, errors.Newf("page has offset %d, want %d", entry.Offset, expected)
		}
		expected++
	}
	if len(answer.Entries) > 0 && answer.Entries[0].Offset < answer.First {
		return journal.Page{}, errors.Newf("page has offset %d, which is before the first offset %d of the stream", answer.Entries[0].Offset, answer.First)
	}
	if answer.First < 1 || answer.Next < answer.First || (len(answer.Entries) > 0 && expected > answer.Next) {
		return journal.Page{}, errors.Newf("page has inconsistent bounds: first %d, next %d, %d entries from %d",
			answer.First, answer.Next, len(answer.Entries), from)
	}
	return journal.Page{Entries: answer.Entries, First: answer.First, Next: answer.Next}, nil
}

func logPath(stream string) string { return "/log/" + url.PathEscape(stream) }
