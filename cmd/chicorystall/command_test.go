package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/cli"
	"github.com/chicorystall/chicorystall/pkg/fleet"
)

// goodSettings are valid settings of an entry instance.
const goodSettings = `Name = "entry-1"
DataCentre = "si-central-a"
CallersAddress = "127.0.0.1:8080"
PeersAddress = "127.0.0.1:9070"
OperatorsAddress = "127.0.0.1:9080"
PlatformAddress = "127.0.0.1:7000"
`

// runCommand runs a command line and returns its exit code and output.
func runCommand(args ...string) (code int, stdout, stderr string) {
	var out, errOut bytes.Buffer
	code = run(context.Background(), args, &out, &errOut)
	return code, out.String(), errOut.String()
}

// settingsFile writes a settings file for one test.
func settingsFile(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "entry.toml")
	NewWithT(t).Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	return file
}

// expectFindings runs the check command on a file with the text. It asserts that
// exactly these findings are printed, in any order, each with its position.
func expectFindings(t *testing.T, text string, want ...string) {
	t.Helper()
	g := NewWithT(t)
	file := settingsFile(t, text)
	code, stdout, stderr := runCommand("check", file)
	g.Expect(code).To(Equal(cli.ExitFailed))
	g.Expect(stderr).To(BeEmpty())
	var wantLines []any
	for _, finding := range want {
		wantLines = append(wantLines, file+":"+finding)
	}
	g.Expect(strings.Split(strings.TrimSpace(stdout), "\n")).To(ConsistOf(wantLines...))
}

func TestExitCodes(t *testing.T) {
	good := settingsFile(t, goodSettings)
	bad := settingsFile(t, goodSettings+"Colour = \"red\"\n")
	absent := filepath.Join(t.TempDir(), "absent.toml")
	for _, test := range []struct {
		name           string
		args           []string
		code           int
		stdout, stderr string // parts of the output
	}{
		{"check a good file", []string{"check", good}, cli.ExitOK, "no findings", ""},
		{"check a bad file", []string{"check", bad}, cli.ExitFailed, "Colour: unknown key", ""},
		{"check a good and a bad file", []string{"check", good, bad}, cli.ExitFailed, "Colour: unknown key", ""},
		{"check an absent file", []string{"check", absent}, cli.ExitFailed, "", "absent.toml"},
		{"check without a file", []string{"check"}, cli.ExitUsage, "", "check needs a file"},
		{"no command", nil, cli.ExitUsage, "", "a command is missing"},
		{"unknown command", []string{"fly"}, cli.ExitUsage, "", `command "fly" does not exist`},
		{"unknown subcommand", []string{"preset", "fly"}, cli.ExitUsage, "", `command "fly" does not exist`},
		{"no subcommand", []string{"datacentre"}, cli.ExitUsage, "", "a command is missing"},
		{"unknown flag", []string{"status", "-fly"}, cli.ExitUsage, "", "-fly"},
		{"preset without a name", []string{"preset", "use"}, cli.ExitUsage, "", "preset use takes NAME"},
		{"data centre without a name", []string{"datacentre", "drain"}, cli.ExitUsage, "", "datacentre drain takes NAME"},
		{"status with an argument", []string{"status", "here"}, cli.ExitUsage, "", "status takes no arguments"},
		{"serve without settings", []string{"serve"}, cli.ExitUsage, "", "serve needs -config FILE"},
		{"serve with bad settings", []string{"serve", "-config", bad}, cli.ExitFailed, "", "Colour: unknown key"},
		{"serve with an unknown level", []string{"serve", "-config", good, "-log-level", "loud"}, cli.ExitUsage, "", "loud"},
		{"nothing listens at the address", []string{"status", "-entry", "127.0.0.1:1"}, cli.ExitFailed, "", "127.0.0.1:1"},
		{"version", []string{"version"}, cli.ExitOK, "chicorystall ", ""},
		{"help", []string{"-h"}, cli.ExitOK, "", "SUBCOMMANDS"},
		{"help of a command", []string{"check", "-h"}, cli.ExitOK, "", "chicorystall check [flags] FILE..."},
		{"help of a subcommand", []string{"datacentre", "drain", "-h"}, cli.ExitOK, "", "-direct"},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			code, stdout, stderr := runCommand(test.args...)
			g.Expect(code).To(Equal(test.code))
			g.Expect(stdout).To(ContainSubstring(test.stdout))
			g.Expect(stderr).To(ContainSubstring(test.stderr))
		})
	}
}

func TestSettingsFindings(t *testing.T) {
	for _, test := range []struct {
		name string
		text string // after the six lines of goodSettings
		want []string
	}{
		{"host name of a peer", `Peers = ["127.0.0.2:9070", "peer.example:9070"]`, []string{
			`7:28: Peers.1: "peer.example:9070" is not an IP number and a port, such as "127.0.0.1:8080"`,
		}},
		{"unknown key", `Colour = "red"`, []string{`7:1: Colour: unknown key`}},
		{"unknown key of a table", "[Limits]\nMaxColours = 3", []string{`8:1: Limits.MaxColours: unknown key`}},
		{"negative duration", "[Limits]\nRequestTimeout = \"-1s\"", []string{
			`8:1: Limits.RequestTimeout: duration "-1s" is negative`,
		}},
		{"duration without a unit", "[Limits]\nBodyTimeout = 15", []string{
			`8:1: Limits.BodyTimeout: is 15, want a duration with a unit, such as "2s"`,
		}},
		{"duration of 0", "[Heartbeat]\nPeers = \"0s\"", []string{`8:1: Heartbeat.Peers: must be above 0s`}},
		{"key window as long as the log", "LogRetention = \"24h\"\nKeyWindow = \"24h\"", []string{
			`8:1: KeyWindow: 24h0m0s is not below LogRetention, 24h0m0s: a key has to be forgotten before its record`,
		}},
		{"callers' certificate without its key", "[CallersTLS]\nCertificateFile = \"callers.pem\"", []string{
			`7:2: CallersTLS.KeyFile: is missing`,
		}},
		{"peers' key alone", "[PeersTLS]\nKeyFile = \"peers.key\"", []string{
			`7:2: PeersTLS.CertificateFile: is missing`,
			`7:2: PeersTLS.AuthorityFile: is missing: entry instances check each other's certificates`,
		}},
		{"several findings at once", "Colour = \"red\"\n[Limits]\nMaxRequests = 0\nBodyTimeout = 15", []string{
			`7:1: Colour: unknown key`,
			`9:1: Limits.MaxRequests: must be above 0`,
			`10:1: Limits.BodyTimeout: is 15, want a duration with a unit, such as "2s"`,
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			expectFindings(t, goodSettings+test.text+"\n", test.want...)
		})
	}
	t.Run("host name of its own", func(t *testing.T) {
		expectFindings(t, strings.Replace(goodSettings, "127.0.0.1:8080", "localhost:8080", 1),
			`3:1: CallersAddress: "localhost:8080" is not an IP number and a port, such as "127.0.0.1:8080"`)
	})
}

func TestFindingsAsJSON(t *testing.T) {
	for _, test := range []struct {
		name, text string
		code       int
		want       fleet.Findings // without the file
	}{
		{"none", goodSettings, cli.ExitOK, fleet.Findings{}},
		{"one", goodSettings + "Colour = \"red\"\n", cli.ExitFailed, fleet.Findings{
			{Line: 7, Column: 1, Key: "Colour", Message: "unknown key"},
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			file := settingsFile(t, test.text)
			code, stdout, _ := runCommand("check", "-json", file)
			g.Expect(code).To(Equal(test.code))
			var got fleet.Findings
			g.Expect(json.Unmarshal([]byte(stdout), &got)).To(Succeed())
			for i := range got {
				g.Expect(got[i].File).To(Equal(file))
				got[i].File = ""
			}
			g.Expect(got).To(Equal(test.want))
		})
	}
}

func TestExamplesHaveNoFindings(t *testing.T) {
	g := NewWithT(t)
	files, err := filepath.Glob("../../examples/*/*.toml")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).NotTo(BeEmpty())
	code, stdout, stderr := runCommand(append([]string{"check"}, files...)...)
	g.Expect(stdout + stderr).To(ContainSubstring("no findings"))
	g.Expect(code).To(Equal(cli.ExitOK))
}
