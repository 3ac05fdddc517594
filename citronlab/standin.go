package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/rest"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron/fleet"
	"github.com/citroncross/citroncross/citron/serve"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/citron/wire"
	"github.com/citroncross/citroncross/citronlab/cell"
	"github.com/citroncross/citroncross/citronlab/endp"
	"github.com/citroncross/citroncross/citronlab/plat"
	"github.com/citroncross/citroncross/citronlab/work"
	"github.com/citroncross/citroncross/schema/lab"
)

// platformCommand runs the stand-in of the platform.
func platformCommand(app *kingpin.Application) command {
	clause := app.Command("platform", "Run the platform's stand-in: log and VM list.")
	listen := clause.Flag("listen", "IP:port to listen on.").Default("127.0.0.1:9000").String()
	retain := clause.Flag("retain", "Number of records retained per stream; 0 retains all.").Int()
	lag := clause.Flag("lag", "Delay until a change appears in the VM list.").Default("500ms").Duration()
	wake := clause.Flag("wake", "How long a worker takes to start.").Default("1s").Duration()
	return command{clause: clause, run: func() error {
		p := &plat.Platform{Options: plat.Options{Retain: *retain, ListLag: *lag, WakeTime: *wake}, Timer: timer.System{}}
		return serveUntilSignal(*listen, p.Routes(), p.Run)
	}}
}

// endpointCommand runs the stand-in of an endpoint.
func endpointCommand(app *kingpin.Application) command {
	clause := app.Command("endpoint", "Run one endpoint's stand-in and register it with the platform.")
	listen := clause.Flag("listen", "IP:port to listen on.").Required().String()
	name := clause.Flag("name", "Name of the VM.").Required().String()
	service := clause.Flag("service", "Service whose calls it runs.").Required().String()
	domain := clause.Flag("domain", "Failure domain.").Default("sw-kanturk").String()
	slots := clause.Flag("slots", "Number of concurrent calls.").Default("8").Int()
	run := clause.Flag("run", "Median run time.").Default("10ms").Duration()
	spread := clause.Flag("spread", "Sigma of the log-normal run times.").Default("0.5").Float64()
	seed := clause.Flag("seed", "Seed of the run times.").Default("1").Uint64()
	fail := clause.Flag("fail", "Percent of calls that fail.").Int()
	platform := clause.Flag("platform", "URL of the platform.").Default("http://127.0.0.1:9000").String()
	return command{clause: clause, run: func() error {
		e := &endp.Endpoint{
			Options: endp.Options{Name: *name, Slots: *slots, RunTime: *run, Spread: *spread, Seed: *seed, FailPercent: *fail},
			Timer:   timer.System{},
		}
		vm := &lab.VM{
			Name: *name, Kind: fleet.KindEndpoint, Address: *listen, FailureDomain: *domain,
			Service: *service, Slots: int32(*slots), Connections: 64,
		}
		return serveUntilSignal(*listen, e.Routes(), register(*platform, vm))
	}}
}

// workerCommand runs the stand-in of a worker.
func workerCommand(app *kingpin.Application) command {
	clause := app.Command("worker", "Run one worker's stand-in and register it with the platform.")
	listen := clause.Flag("listen", "IP:port to listen on.").Required().String()
	name := clause.Flag("name", "Name of the VM.").Required().String()
	rack := clause.Flag("rack", "Rack.").Default("rack-00").String()
	domain := clause.Flag("domain", "Failure domain.").Default("sw-kanturk").String()
	milliCores := clause.Flag("millicores", "CPU capacity in thousandths of a core.").Default("32000").Int32()
	memory := clause.Flag("memory-mb", "Memory capacity in MB.").Default("64000").Int32()
	failAll := clause.Flag("broken", "Fail every task.").Bool()
	run := clause.Flag("run", "Run time of a task whose payload does not set one.").Default("1s").Duration()
	platform := clause.Flag("platform", "URL of the platform.").Default("http://127.0.0.1:9000").String()
	return command{clause: clause, run: func() error {
		w := &work.Worker{
			Options: work.Options{Name: *name, MilliCores: *milliCores, MemoryMb: *memory, FailAll: *failAll, RunTime: *run},
			Timer:   timer.System{},
		}
		vm := &lab.VM{
			Name: *name, Kind: fleet.KindWorker, Address: *listen, FailureDomain: *domain, Rack: *rack,
			MilliCores: *milliCores, MemoryMb: *memory,
		}
		return serveUntilSignal(*listen, w.Routes(), register(*platform, vm), w.Run)
	}}
}

// settingsCommand writes the settings files of the example cell.
func settingsCommand(app *kingpin.Application) command {
	clause := app.Command("settings", "Write the settings files of the six daemons of the example cell.")
	folder := clause.Arg("folder", "Folder to write to.").Required().String()
	return command{clause: clause, run: func() (err error) {
		defer func() { err = eris.Wrap(err, "write settings") }()
		if err := os.MkdirAll(*folder, 0o755); err != nil {
			return err
		}
		options := cell.Defaults()
		for n := range options.Daemons {
			s := options.Settings(n)
			file := filepath.Join(*folder, s.GetVM()+".toml")
			text, err := encodeTOML(s)
			if err != nil {
				return err
			}
			if err := os.WriteFile(file, text, 0o644); err != nil {
				return err
			}
		}
		return nil
	}}
}

// encodeTOML encodes a message as TOML with the field names as keys.
func encodeTOML(message proto.Message) ([]byte, error) {
	body, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(message)
	if err != nil {
		return nil, err
	}
	var table map[string]any
	if err := decodeNumbers(body, &table); err != nil {
		return nil, err
	}
	var out bytes.Buffer
	err = toml.NewEncoder(&out).Encode(table)
	return out.Bytes(), err
}

// backgroundLoop starts a loop that ends when ctx ends, if not before. The returned channel then receives its result.
type backgroundLoop func(ctx context.Context) <-chan error

// register returns a loop that registers a VM with the platform, retrying until it succeeds.
func register(platform string, vm *lab.VM) backgroundLoop {
	client := wire.NewClient("register", 1)
	return func(ctx context.Context) <-chan error {
		ended := make(chan error, 1)
		go func() {
			tick, stop := timer.System{}.Every(200 * time.Millisecond)
			defer stop()
			for client.Do(ctx, http.MethodPost, platform+"/v1/vms", vm, nil) != nil && ctx.Err() == nil {
				<-tick
			}
			ended <- nil
		}()
		return ended
	}
}

// serveUntilSignal serves routes and runs loops until SIGINT or SIGTERM, and waits for all of them to end.
func serveUntilSignal(listen string, routes []rest.Route, loops ...backgroundLoop) (err error) {
	defer func() { err = eris.Wrapf(err, "serve %s", listen) }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	server, err := serve.Start(listener, routes)
	if err != nil {
		return err
	}
	var ended []<-chan error
	for _, run := range loops {
		ended = append(ended, run(ctx))
	}
	fmt.Println("listening on", listen)
	<-ctx.Done()
	server.Close()
	for _, e := range ended {
		<-e
	}
	return <-server.Ended()
}
