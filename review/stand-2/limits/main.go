// Command limits raises the limit on request heads by a configuration and judges requests
// that come on kept connections afterwards.
//
//	limits PROGRAM FOLDER
package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	stand2 "github.com/chicorystall/chicorystall/review/stand-2"
)

const (
	clientCount = 40
	smallLimit  = 16384
	largeLimit  = 32768
	longHead    = 30000 // bytes of a header value
	configDelay = 2 * time.Second
	longPerConn = 3
)

// counts are what the clients saw.
type counts struct {
	mu                    sync.Mutex
	all, long, denied, ok int
}

func main() {
	c, err := stand2.FromEnvironment(60 * time.Second)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(stand2.CannotRun)
	}
	os.Exit(c.Run([]string{"muscat-qurum"}, func(ctx context.Context, d *stand2.Deployment) (bool, error) {
		return play(ctx, d, c)
	}))
}

func config(version, headerBytes int) map[string]any {
	c := stand2.Config(version)
	c["limits"].(map[string]any)["max-header-bytes"] = headerBytes
	return c
}

func play(ctx context.Context, d *stand2.Deployment, c stand2.Case) (bool, error) {
	desk := &stand2.Desk{Record: d.Record, Work: 15 * time.Millisecond}
	if err := d.StartDesk(desk, 3, "muscat-qurum"); err != nil {
		return false, err
	}
	defer desk.Close()
	first := smallLimit
	if !c.Trouble {
		first = largeLimit
	}
	if err := d.PutConfig(config(7, first)); err != nil {
		return false, err
	}
	if err := d.StartEntries(c.Program, 2); err != nil {
		return false, err
	}
	ready, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	if err := d.AwaitReady(ready); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	changed := make(chan struct{})
	var result counts
	var clients sync.WaitGroup
	for n := range clientCount {
		clients.Go(func() { converse(d, n, changed, &result) })
	}
	time.Sleep(4 * time.Second)
	if err := d.PutConfig(config(8, largeLimit)); err != nil {
		return false, err
	}
	time.Sleep(configDelay + time.Second)
	close(changed)
	clients.Wait()
	allowed := 5 + result.all/500
	d.Record.Add("%d requests, %d with a long head, of which %d were denied and %d answered with 200; at most %d may be denied", result.all, result.long, result.denied, result.ok, allowed)
	fmt.Printf("%d of %d requests were denied\n", result.denied, result.all)
	return result.denied > allowed, nil
}

// converse sends requests on one connection as long as it is kept: short ones until the
// configuration has changed, then long ones.
func converse(d *stand2.Deployment, n int, changed <-chan struct{}, result *counts) {
	e := d.Entries()[n%len(d.Entries())]
	var conn net.Conn
	var reader *bufio.Reader
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	send := func(id, padding string) (int, bool) {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp4", e.Front, time.Second); err != nil {
				d.Record.Add("client %d: %v", n, err)
				return 0, false
			}
			reader = bufio.NewReader(conn)
			d.Record.Add("client %d connects to %s", n, e.Name)
		}
		_ = conn.SetDeadline(time.Now().Add(1500 * time.Millisecond))
		fmt.Fprintf(conn, "GET /lookup/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer %s\r\nX-Note: %s\r\n\r\n", id, stand2.Key, padding)
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			d.Record.Add("client %d: %s: %v", n, id, err)
			conn.Close()
			conn = nil
			return 0, false
		}
		defer resp.Body.Close()
		body := make([]byte, 200)
		size, _ := resp.Body.Read(body)
		d.Record.Add("client %d: %s, head of %d bytes: status %d, %q", n, id, 150+len(padding), resp.StatusCode, body[:size])
		if resp.Close {
			conn.Close()
			conn = nil
		}
		return resp.StatusCode, true
	}
	count := func(status int, long bool) {
		result.mu.Lock()
		defer result.mu.Unlock()
		result.all++
		if long {
			result.long++
		}
		switch {
		case status == http.StatusOK && long:
			result.ok++
		case status >= 300 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests && status != http.StatusMisdirectedRequest:
			result.denied++
		}
	}
	time.Sleep(time.Duration(n) * 10 * time.Millisecond)
	for i := 0; ; i++ {
		status, _ := send(fmt.Sprintf("c%d-short-%d", n, i), "x")
		count(status, false)
		select {
		case <-changed:
			time.Sleep(time.Duration(n) * 10 * time.Millisecond)
			for k := range longPerConn {
				status, _ := send(fmt.Sprintf("c%d-long-%d", n, k), strings.Repeat("x", longHead))
				count(status, true)
			}
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}
