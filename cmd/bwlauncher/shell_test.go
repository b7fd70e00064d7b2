package bwlauncher_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"bilberrywick/cmd/bwcommand"
	"bilberrywick/cmd/bwlauncher"
)

// stepTimeout limits the wait for the expected output of a step; it only limits how
// long a failing test runs.
const stepTimeout = 30 * time.Second

// shell runs the commands that the page uses, without child processes.
type shell struct {
	t             *testing.T
	dir           string
	toTestAddress *strings.Replacer
	toPageAddress *strings.Replacer
	env           map[string]string
	jobs          []*job
}

// job is a command that runs in the background.
type job struct {
	shl  *shell
	args []string
	out  *output
	// toFile is set when the output is redirected to a file.
	toFile bool
	cancel context.CancelFunc
	done   chan struct{}
	code   int
}

// output is a buffer for the output of a command; it is safe for concurrent use.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write appends data to the buffer.
func (out *output) Write(data []byte) (int, error) {
	out.mu.Lock()
	defer out.mu.Unlock()
	return out.buf.Write(data)
}

func (out *output) text() string {
	out.mu.Lock()
	defer out.mu.Unlock()
	return out.buf.String()
}

func newShell(t *testing.T, examples string) *shell {
	testAddress := reserveAddress(t)
	shl := &shell{
		t:             t,
		toTestAddress: strings.NewReplacer("127.0.0.1", testAddress),
		toPageAddress: strings.NewReplacer(testAddress, "127.0.0.1"),
		env:           make(map[string]string),
	}
	shl.dir = copyExamples(t, examples, shl.toTestAddress)
	t.Cleanup(shl.close)
	return shl
}

// reserveAddress returns a loopback address of the same length as 127.0.0.1 that no
// other test uses. All addresses in 127.0.0.0/8 are loopback; a listener on port
// 7009 reserves the address until the test ends.
func reserveAddress(t *testing.T) string {
	t.Helper()
	const first, last = 111, 999
	for num := first; num <= last; num++ {
		testAddress := fmt.Sprintf("127.%d.%d.%d", num/100, num/10%10, num%10)
		lis, err := net.Listen("tcp", testAddress+":7009")
		if err == nil {
			t.Cleanup(func() { _ = lis.Close() })
			return testAddress
		}
	}
	t.Fatal("no loopback address is free")
	return ""
}

func (shl *shell) close() {
	for _, jb := range shl.jobs {
		jb.cancel()
		<-jb.done
	}
}

// runStep runs the commands of a step and compares their output. A repeatable step
// runs again until its output matches or stepTimeout has passed.
func (shl *shell) runStep(stp step) {
	shl.t.Helper()
	ctx, cancel := context.WithTimeout(shl.t.Context(), stepTimeout)
	defer cancel()
	for {
		var out output
		var started []*job
		for _, line := range stp.commands {
			if jb := shl.runLine(ctx, line, &out); jb != nil && !jb.toFile {
				started = append(started, jb)
			}
		}
		diff := shl.compareOutput(ctx, stp.want, &out, started)
		if diff == "" {
			return
		}
		if !isRepeatable(stp.commands) || ctx.Err() != nil {
			shl.t.Fatalf("%s:\n%s", strings.Join(stp.commands, "\n"), diff)
		}
		sleepBeforeRetry(ctx)
	}
}

// compareOutput returns how the output differs from the page, or an empty string.
// While background jobs of the step run, it waits for more of their output.
func (shl *shell) compareOutput(ctx context.Context, want string, out *output, started []*job) string {
	if want == "" {
		return failurePattern.FindString(out.text())
	}
	for {
		got := out.text()
		for _, jb := range started {
			got += jb.out.text()
		}
		got = strings.TrimSpace(shl.toPageAddress.Replace(got))
		if matches(got, strings.TrimSpace(want)) {
			return ""
		}
		if len(started) == 0 || ctx.Err() != nil {
			return "got:\n" + got + "\nwant:\n" + want
		}
		sleepBeforeRetry(ctx)
	}
}

func sleepBeforeRetry(ctx context.Context) {
	tmr := time.NewTimer(50 * time.Millisecond)
	defer tmr.Stop()
	select {
	case <-tmr.C:
	case <-ctx.Done():
	}
}

// matches reports whether got equals want, in which "…" matches any part of a line.
func matches(got, want string) bool {
	pattern := strings.ReplaceAll(regexp.QuoteMeta(want), "…", "[^\n]*")
	return regexp.MustCompile("^" + pattern + "$").MatchString(got)
}

// failurePattern matches the line that runLine writes after a command that failed.
var failurePattern = regexp.MustCompile(`exit code [1-9].*`)

// isRepeatable reports whether running the commands again changes nothing.
func isRepeatable(commands []string) bool {
	for _, line := range commands {
		readOnly := strings.HasPrefix(line, "bilberrywick status") || strings.HasPrefix(line, "curl -s 127.0.0.1:7002") ||
			strings.HasPrefix(line, "curl -s 127.0.0.1:7012") || strings.HasPrefix(line, "curl -s 127.0.0.1:7022")
		// A repeated ticket gets the same response each time.
		if !readOnly && line != "bilberrywick ticket apply ticket-2-drain.json" {
			return false
		}
	}
	return true
}

// runLine runs one line, and returns its job if it runs in the background.
func (shl *shell) runLine(ctx context.Context, line string, out *output) *job {
	args, file := shl.parse(line)
	background := args[len(args)-1] == "&"
	if background {
		args = args[:len(args)-1]
	}
	if file != "" || background {
		out = &output{}
	}
	if background {
		return shl.startJob(args, file, out)
	}
	if code := shl.execute(ctx, args, out, out); code != bwcommand.ExitOK {
		_, _ = fmt.Fprintf(out, "exit code %d\n", code)
	}
	if file != "" {
		shl.writeFile(file, out)
	}
	return nil
}

func (shl *shell) startJob(args []string, file string, out *output) *job {
	ctx, cancel := context.WithCancel(context.WithoutCancel(shl.t.Context()))
	jb := &job{shl: shl, args: args, out: out, toFile: file != "", cancel: cancel, done: make(chan struct{})}
	shl.jobs = append(shl.jobs, jb)
	if file != "" {
		shl.env["job "+file] = strconv.Itoa(len(shl.jobs))
	}
	go jb.run(ctx)
	return jb
}

func (jb *job) run(ctx context.Context) {
	defer close(jb.done)
	jb.code = jb.shl.execute(ctx, jb.args, jb.out, jb.out)
}

// wordPattern matches the words of a line, which spaces outside single quotes separate.
var wordPattern = regexp.MustCompile(`'[^']*'|\S+`)

// parse returns the words of a line and the file to which its output is redirected.
func (shl *shell) parse(line string) (args []string, file string) {
	list := wordPattern.FindAllString(line, -1)
	for ix := 0; ix < len(list); ix++ {
		if list[ix] == ">" || list[ix] == "2>" {
			file = list[ix+1]
			ix++
			continue
		}
		args = append(args, shl.toTestAddress.Replace(strings.Trim(list[ix], "'")))
	}
	return args, file
}

func (shl *shell) execute(ctx context.Context, args []string, out, logs io.Writer) int {
	switch args[0] {
	case "bilberrywick":
		return shl.runProgram(ctx, args[1:], out, logs)
	case "curl":
		return shl.curl(ctx, args[1:], out)
	case "export":
		name, val, _ := strings.Cut(args[1], "=")
		shl.env[name] = val
	case "sleep":
		time.Sleep(500 * time.Millisecond)
	case "kill":
		shl.forEachJob(args[1:], (*job).stop)
	case "wait":
		shl.forEachJob(args[1:], (*job).wait)
	case "tail":
		shl.tail(args[len(args)-1], out)
	case "go", "cd":
	default:
		shl.t.Errorf("the test's shell does not support %q", args[0])
	}
	return bwcommand.ExitOK
}

func (jb *job) stop() { jb.cancel() }

func (jb *job) wait() {
	<-jb.done
	if jb.code != bwcommand.ExitOK {
		jb.shl.t.Errorf("%v: exit code %d\n%s", jb.args, jb.code, jb.out.text())
	}
}

func (shl *shell) forEachJob(names []string, action func(*job)) {
	for _, name := range names {
		num, err := strconv.Atoi(strings.TrimPrefix(name, "%"))
		if err != nil || num < 1 || num > len(shl.jobs) {
			shl.t.Fatalf("no job %s", name)
		}
		action(shl.jobs[num-1])
	}
}

// tail writes the last non-empty line of a job's output.
func (shl *shell) tail(file string, out io.Writer) {
	num, err := strconv.Atoi(shl.env["job "+file])
	if err != nil {
		shl.t.Fatalf("no job writes to %s", file)
	}
	lines := strings.Split(strings.TrimSpace(shl.jobs[num-1].out.text()), "\n")
	_, _ = fmt.Fprintln(out, lines[len(lines)-1])
}

func (shl *shell) writeFile(file string, out *output) {
	if err := os.WriteFile(filepath.Join(shl.dir, file), []byte(out.text()), 0o600); err != nil {
		shl.t.Fatal(err)
	}
}

// runProgram runs a bilberrywick command in the test's process, with the example
// files and the test's loopback address.
func (shl *shell) runProgram(ctx context.Context, args []string, out, logs io.Writer) int {
	var programArgs []string
	for _, arg := range args {
		if strings.HasSuffix(arg, ".json") {
			arg = filepath.Join(shl.dir, arg)
		}
		programArgs = append(programArgs, arg)
	}
	programArgs = append(programArgs, shl.addressFlags(args)...)
	shortened := &relativePathWriter{dir: shl.dir + string(filepath.Separator), out: out}
	return bwcommand.Run(ctx, bwcommand.Config{
		Output:      shortened,
		ErrorOutput: shortened,
		Getenv:      shl.getenv,
		CheckTicket: bwlauncher.CheckTicket,
		Commands:    bwlauncher.Commands(bwlauncher.Config{LogOutput: logs}),
	}, programArgs)
}

func (shl *shell) getenv(name string) string { return shl.env[name] }

// addressFlags returns flags that replace a command's default addresses by the test's.
func (shl *shell) addressFlags(args []string) []string {
	switch strings.Join(args[:min(2, len(args))], " ") {
	case "standin platform":
		return shl.withTestAddress("--table=127.0.0.1:8101", "--objects=127.0.0.1:8102", "--list=127.0.0.1:8103")
	case "standin engine":
		return shl.withTestAddress("--address=127.0.0.1:8000")
	case "standin app":
		return shl.withTestAddress("--address=127.0.0.1:8200")
	case "status", "ticket apply", "ticket list", "ticket show":
		return shl.withTestAddress("--address=127.0.0.1:7002")
	}
	return nil
}

func (shl *shell) withTestAddress(flags ...string) []string {
	for ix := range flags {
		flags[ix] = shl.toTestAddress.Replace(flags[ix])
	}
	return flags
}

// relativePathWriter removes the directory of the examples from file names, as the
// page shows them.
type relativePathWriter struct {
	dir string
	out io.Writer
}

// Write removes the directory's name from data.
func (rel *relativePathWriter) Write(data []byte) (int, error) {
	_, err := rel.out.Write(bytes.ReplaceAll(data, []byte(rel.dir), nil))
	return len(data), err
}

// curl sends an HTTP request; it supports the flags -s, -H and -d.
func (shl *shell) curl(ctx context.Context, args []string, out io.Writer) int {
	method, body, url := http.MethodGet, "", ""
	header := make(http.Header)
	for ix := 0; ix < len(args); ix++ {
		switch args[ix] {
		case "-s":
		case "-H":
			ix++
			name, val, _ := strings.Cut(args[ix], ": ")
			header.Set(name, val)
		case "-d":
			ix++
			method, body = http.MethodPost, args[ix]
		default:
			url = "http://" + args[ix]
		}
	}
	rq, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		shl.t.Fatal(err)
	}
	rq.Header = header
	rsp, err := http.DefaultClient.Do(rq)
	if err != nil {
		_, _ = fmt.Fprintln(out, err)
		return bwcommand.ExitOK
	}
	defer func() { _ = rsp.Body.Close() }()
	_, _ = io.Copy(out, rsp.Body)
	return bwcommand.ExitOK
}
