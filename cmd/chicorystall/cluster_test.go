package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/chicorystall/chicorystall/internal/cli"
	"github.com/chicorystall/chicorystall/internal/deployment"
)

// eventuallyTimeout is the maximum time that a test waits for a condition.
const eventuallyTimeout = 30 * time.Second

// buildPrograms builds the programs once for all process tests and returns their
// paths by name.
var buildPrograms = sync.OnceValues(func() (map[string]string, error) {
	built := make(map[string]string)
	for _, name := range []string{"chicorystall", "chicorystall-fake"} {
		path, err := gexec.Build("github.com/chicorystall/chicorystall/cmd/" + name)
		if err != nil {
			return nil, err
		}
		built[name] = path
	}
	return built, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	gexec.CleanupBuildArtifacts()
	os.Exit(code)
}

// process is a program that a test started.
type process struct {
	name   string
	cmd    *exec.Cmd
	output *syncBuffer
	exited chan struct{}
}

// syncBuffer is a buffer that can be read while it is written.
type syncBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *syncBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(data)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// kill kills the process, also if it is stopped, and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// entryProcess is an entry instance in a separate process.
type entryProcess struct {
	*process
	callersAddress   string
	operatorsAddress string
	settingsFile     string
}

// cluster is a deployment whose parts are separate processes.
type cluster struct {
	t               *testing.T
	g               *WithT
	dir             string
	platformAddress string
	entries         []*entryProcess
	workerAddresses map[string]string // addresses by name
	deskAddresses   map[string]string
	fleetTOML       strings.Builder
	groupNames      []string
}

// start runs a program and kills it at the end of the test.
func (c *cluster) start(program, name string, args ...string) *process {
	built, err := buildPrograms()
	c.g.Expect(err).NotTo(HaveOccurred())
	p := &process{name: name, output: &syncBuffer{}, exited: make(chan struct{})}
	p.cmd = exec.Command(built[program], args...)
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	c.g.Expect(p.cmd.Start()).To(Succeed())
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	c.t.Cleanup(func() {
		p.kill()
		if c.t.Failed() {
			c.t.Logf("%s: %s", name, tail(p.output.String()))
		}
	})
	return p
}

// tail returns the end of a long output.
func tail(output string) string {
	const shown = 3000
	return output[max(0, len(output)-shown):]
}

// startFake runs a fake and returns its address.
func (c *cluster) startFake(name string, args ...string) (*process, string) {
	p := c.start("chicorystall-fake", name, args...)
	c.g.Eventually(p.output.String, eventuallyTimeout).Should(ContainSubstring("\n"))
	line, _, _ := strings.Cut(p.output.String(), "\n")
	return p, line
}

// newCluster starts a platform and, in each data centre, model workers, an order desk
// and entry instances. Each model worker forms a group with itself as its only member.
func newCluster(t *testing.T, dataCentres, entries, workers int) *cluster {
	c := &cluster{t: t, g: NewWithT(t), dir: t.TempDir(), workerAddresses: make(map[string]string), deskAddresses: make(map[string]string)}
	_, c.platformAddress = c.startFake("platform", "platform")
	c.fleetTOML.WriteString("[[ClientAccount]]\nName = \"library\"\nKey = \"library-key\"\n")
	c.fleetTOML.WriteString("[[Service]]\nName = \"orders\"\nNonIdempotent = [\"POST /orders\"]\nRequestTimeout = \"20s\"\n")
	for n := range dataCentres {
		c.startDataCentre(fmt.Sprintf("dc-%d", n+1), workers)
	}
	fmt.Fprintf(&c.fleetTOML, "[[Preset]]\nName = \"ordinary\"\nDefault = true\n[[Preset.Route]]\nClientAccounts = [\"*\"]\nGroups = [%s]\n", strings.Join(c.groupNames, ", "))
	c.startEntries(dataCentres, entries)
	file := c.writeFile("fleet.toml", c.fleetTOML.String())
	c.g.Eventually(func() int { return c.runCommand("fleet", "put", file) }, eventuallyTimeout).Should(Equal(cli.ExitOK))
	for _, e := range c.entries {
		c.g.Eventually(func() string { return getBody(e.operatorsAddress, "/status") }, eventuallyTimeout).Should(
			And(ContainSubstring("Cold"), Not(ContainSubstring("NotWhole")), Not(ContainSubstring("NotReady"))), e.name)
	}
	return c
}

func (c *cluster) startDataCentre(dc string, workers int) {
	fmt.Fprintf(&c.fleetTOML, "[[DataCentre]]\nName = %q\n", dc)
	for n := range workers {
		name := fmt.Sprintf("%s-worker-%d", dc, n+1)
		_, address := c.startFake(name, "worker", "-name", name, "-platform", c.platformAddress, "-datacentre", dc,
			"-fabric-domain", dc, "-checks-fence", "-token-time", "10ms", "-warm-after", "1")
		c.workerAddresses[name] = address
		fmt.Fprintf(&c.fleetTOML, "[[BackendServer]]\nName = %q\nDataCentre = %q\nFabricDomain = %q\nAddress = %q\n", name, dc, dc, address)
		c.fleetTOML.WriteString("ChecksFence = true\nMaxInFlight = 4\nMaxTokens = 100000\nAccelerators = 4\n")
		fmt.Fprintf(&c.fleetTOML, "[[Group]]\nName = \"%s-group\"\nModel = \"atelier\"\nModelVersion = \"1\"\nDataCentre = %q\nMembers = [%q]\n", name, dc, name)
		c.groupNames = append(c.groupNames, fmt.Sprintf("\"%s-group\"", name))
	}
	name := dc + "-desk"
	_, address := c.startFake(name, "service", "-name", name, "-platform", c.platformAddress, "-datacentre", dc, "-latency", "20ms")
	c.deskAddresses[name] = address
	fmt.Fprintf(&c.fleetTOML, "[[BackendServer]]\nName = %q\nDataCentre = %q\nService = \"orders\"\nAddress = %q\nMaxInFlight = 8\n", name, dc, address)
}

func (c *cluster) startEntries(dataCentres, entries int) {
	const listeners = 3
	ports, err := deployment.FreeAddresses(dataCentres * entries * listeners)
	c.g.Expect(err).NotTo(HaveOccurred())
	var peers []string
	for n := range dataCentres * entries {
		peers = append(peers, fmt.Sprintf("%q", ports[n*listeners+1]))
	}
	for n := range dataCentres * entries {
		instancePorts := ports[n*listeners:]
		name := fmt.Sprintf("dc-%d-entry-%d", n/entries+1, n%entries+1)
		file := c.writeFile(name+".toml", fmt.Sprintf(`Name = %q
DataCentre = "dc-%d"
CallersAddress = %q
PeersAddress = %q
OperatorsAddress = %q
PlatformAddress = %q
Peers = [%s]
[Heartbeat]
Peers = "200ms"
Backends = "200ms"
Platform = "300ms"
[Shutdown]
BalancerDelay = "300ms"
Deadline = "20s"
`, name, n/entries+1, instancePorts[0], instancePorts[1], instancePorts[2], c.platformAddress, strings.Join(peers, ", ")))
		e := &entryProcess{callersAddress: instancePorts[0], operatorsAddress: instancePorts[2], settingsFile: file}
		e.process = c.start("chicorystall", name, "serve", "-config", file)
		c.entries = append(c.entries, e)
	}
}

func (c *cluster) writeFile(name, text string) string {
	file := filepath.Join(c.dir, name)
	c.g.Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	return file
}

// runCommand runs an operator's command against the first entry instance and
// returns its exit code.
func (c *cluster) runCommand(args ...string) int {
	built, err := buildPrograms()
	c.g.Expect(err).NotTo(HaveOccurred())
	entryFlag := []string{"-entry", c.entries[0].operatorsAddress}
	allArgs := append(append([]string{args[0], args[1]}, entryFlag...), args[2:]...)
	cmd := exec.Command(built["chicorystall"], allArgs...)
	_ = cmd.Run()
	return cmd.ProcessState.ExitCode()
}

// getBody returns the body of a page. If the request fails, it returns "NotReady: " and
// the error, so that callers that wait for readiness try again.
func getBody(address, path string) string {
	client := http.Client{Timeout: 2 * time.Second}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return "NotReady: " + err.Error()
	}
	defer response.Body.Close()
	var body bytes.Buffer
	_, _ = body.ReadFrom(response.Body)
	return body.String()
}
