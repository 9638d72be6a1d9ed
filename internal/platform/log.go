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

// append maps each way a call can end to what it tells about the entry. A
// status below 500, or 503, is the platform's word that it took nothing.
func (c *Client) append(ctx context.Context, stream string, data []byte) (journal.Offset, error) {
	path := logPath(stream)
	got, sent, err := c.call(ctx, http.MethodPost, path, data, c.timeout())
	switch {
	case err != nil && !sent:
		return 0, unavailable(err)
	case err != nil:
		return 0, outcomeUnknown(err)
	case got.status == http.StatusOK:
		return parseAppend(got.body)
	case got.status >= 400 && got.status < 500, got.status == http.StatusServiceUnavailable:
		return 0, unavailable(got.failure(http.MethodPost, path))
	default:
		return 0, outcomeUnknown(got.failure(http.MethodPost, path))
	}
}

func parseAppend(body []byte) (journal.Offset, error) {
	var out AppendAnswer
	if err := json.Unmarshal(body, &out); err != nil {
		return 0, outcomeUnknown(errors.Wrap(err, "append answer"))
	}
	if out.Offset <= 0 {
		return 0, outcomeUnknown(errors.Newf("append answer has offset %d", out.Offset))
	}
	return out.Offset, nil
}

// read returns the page's First and Next beside ErrExpired too.
func (c *Client) read(ctx context.Context, stream string, from journal.Offset, limit int, wait time.Duration) (journal.Page, error) {
	query := url.Values{
		"From":             {strconv.FormatInt(int64(from), 10)},
		"Limit":            {strconv.Itoa(limit)},
		"WaitMilliseconds": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	path := logPath(stream)
	got, _, err := c.call(ctx, http.MethodGet, path+"?"+query.Encode(), nil, c.timeout()+wait)
	if err != nil {
		return journal.Page{}, unavailable(err)
	}
	if got.status != http.StatusOK && got.status != http.StatusGone {
		return journal.Page{}, unavailable(got.failure(http.MethodGet, path))
	}
	page, err := parsePage(got.body, from)
	if err != nil {
		return journal.Page{}, unavailable(err)
	}
	if got.status == http.StatusGone {
		page.Entries = nil
		return page, errors.Wrapf(journal.ErrExpired, "offset %d of stream %q, which begins at %d", from, stream, page.First)
	}
	return page, nil
}

// parsePage refuses a page whose entries do not follow one another from the
// offset asked for, so that a reader never skips one.
func parsePage(body []byte, from journal.Offset) (journal.Page, error) {
	var out PageAnswer
	if err := json.Unmarshal(body, &out); err != nil {
		return journal.Page{}, errors.Wrap(err, "page")
	}
	want := max(from, 1)
	for _, entry := range out.Entries {
		if entry.Offset != want {
			return journal.Page{}, errors.Newf("page has offset %d where %d was due", entry.Offset, want)
		}
		want++
	}
	if len(out.Entries) > 0 && out.Entries[0].Offset < out.First {
		return journal.Page{}, errors.Newf("page has offset %d before its first %d", out.Entries[0].Offset, out.First)
	}
	if out.First < 1 || out.Next < out.First || (len(out.Entries) > 0 && want > out.Next) {
		return journal.Page{}, errors.Newf("page has first %d and next %d after %d entries from %d",
			out.First, out.Next, len(out.Entries), from)
	}
	return journal.Page{Entries: out.Entries, First: out.First, Next: out.Next}, nil
}

func logPath(stream string) string { return "/log/" + url.PathEscape(stream) }
