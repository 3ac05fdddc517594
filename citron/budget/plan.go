package budget

// What a connection costs beside the bytes that its request takes from the budget.
const (
	// ConnectionBytes covers the goroutine, the read and write buffers and the descriptor of a connection.
	ConnectionBytes Bytes = 20 << 10
	// ReceiveBytes is the size that is requested for the receive buffer of a connection of callers.
	ReceiveBytes Bytes = 8 << 10
	// PeerConnectionBytes is ConnectionBytes of a gRPC connection, which has three goroutines and larger buffers.
	PeerConnectionBytes Bytes = 100 << 10
)

const (
	// receiveFactor is the factor by which the operating system enlarges a requested receive buffer.
	receiveFactor = 2
	// sidePorts is the number of ports beside those of callers and of other daemons.
	sidePorts = 2
	// maxSideConnections is the maximum number of connections to each of them.
	maxSideConnections = 64
	// maxPeerConnections suffices for one connection from each daemon of a large cell and some from operators.
	maxPeerConnections = 1024
	// minConnections is the least number of connections of a port.
	minConnections = 16
)

// Shares of a process's memory. The rest is for the daemon's own state and for garbage.
const (
	// connectionShare is for the connections to HTTP ports, requestShare for their requests, peerShare for the connections of
	// other daemons and once more for their requests.
	connectionShare = 3
	requestShare    = 6
	peerShare       = 16
	// jobShare is for accepted jobs, runShare for the runs under way on workers.
	jobShare = 5
	runShare = 12
	// outsideHeap is memory that the Go runtime does not count: the program's pages and the descriptors' state in the kernel.
	outsideHeap Bytes = 32 << 20
	// minHeapShare keeps a heap for processes with less memory than all of this needs.
	minHeapShare = 2
	// fileShare is for connections of callers; the other descriptors are for workers, the store and other daemons.
	fileShare = 2
)

// Plan divides the memory and the descriptors of a process.
type Plan struct {
	// Callers, Side and Peers are the numbers of connections to the port of callers, to each other HTTP port and to the
	// port of the other daemons.
	Callers, Side, Peers int
	// Requests is what all requests may hold beside their connections, PeerRequests the same for those of other daemons.
	Requests, PeerRequests Bytes
	// Jobs is what accepted jobs may take, Runs the same for the runs under way.
	Jobs, Runs Bytes
	// Heap is the size of the heap above which garbage is collected at once and memory is given back.
	Heap Bytes
}

// NewPlan returns the plan for a process with an amount of memory and a number of descriptors.
func NewPlan(memory Bytes, files int) Plan {
	perCaller := ConnectionBytes + receiveFactor*ReceiveBytes
	p := Plan{
		Callers:  max(min(files/fileShare, int(memory/connectionShare/perCaller)-sidePorts*maxSideConnections), minConnections),
		Side:     maxSideConnections,
		Peers:    max(min(maxPeerConnections, int(memory/peerShare/PeerConnectionBytes)), minConnections),
		Requests: memory / requestShare,

		PeerRequests: memory / peerShare,

		Jobs: memory / jobShare,
		Runs: memory / runShare,
	}
	p.Heap = max(memory-p.Unread()-outsideHeap, memory/minHeapShare)
	return p
}

// Unread returns the most bytes that connections of callers can have received without the process having read them.
func (p Plan) Unread() Bytes {
	return Bytes(p.Callers+sidePorts*p.Side) * receiveFactor * ReceiveBytes
}

// Sum returns the most memory that all connections and requests can take together, with bytes that are not read.
func (p Plan) Sum() Bytes {
	return p.Unread() + Bytes(p.Callers+sidePorts*p.Side)*ConnectionBytes + Bytes(p.Peers)*PeerConnectionBytes + p.Requests + p.PeerRequests
}
