package main

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/cli"
)

func TestUsage(t *testing.T) {
	tests := []struct {
		args       string
		code       int
		wantStderr string
	}{
		{"-h", 0, "SUBCOMMANDS"},
		{"platform -h", 0, "-appends"},
		{"worker -h", 0, "-checks-fence"},
		{"service -h", 0, "-latency"},
		{"", cli.ExitUsage, "a subcommand is missing"},
		{"engine", cli.ExitUsage, `subcommand "engine" does not exist`},
		{"worker", cli.ExitUsage, "-name is missing"},
		{"service", cli.ExitUsage, "-name is missing"},
		{"platform x", cli.ExitUsage, `argument "x" is not expected`},
		{"platform -x", cli.ExitUsage, "-x"},
		{"platform -listen 300.0.0.1:1", cli.ExitFailed, "300.0.0.1"},
	}
	for _, test := range tests {
		t.Run(test.args, func(t *testing.T) {
			g := NewWithT(t)
			var stderr bytes.Buffer
			g.Expect(run(t.Context(), strings.Fields(test.args), io.Discard, &stderr)).To(Equal(test.code))
			g.Expect(stderr.String()).To(ContainSubstring(test.wantStderr))
		})
	}
}

func TestServeUntilContextIsDone(t *testing.T) {
	for _, args := range []string{"platform", "worker -name a1 -model draft", "service -name orders-1"} {
		t.Run(args, func(t *testing.T) {
			g := NewWithT(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			reader, writer := io.Pipe()
			code := make(chan int)
			go func() { code <- run(ctx, strings.Fields(args), writer, io.Discard) }()
			address, err := bufio.NewReader(reader).ReadString('\n')
			g.Expect(err).NotTo(HaveOccurred())
			resp, err := http.Get("http://" + strings.TrimSpace(address) + "/control")
			g.Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
			g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
			cancel()
			g.Expect(<-code).To(Equal(0))
		})
	}
}
