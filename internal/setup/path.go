package setup

// Path is what every process of the packet path must be told.
type Path struct {
	Name       string // of the host, for logs
	DataCentre string // where the host stands
	Host       string // IPv4 address of the host
	Packets    string // address and UDP port that takes packets
	Ready      string // address and TCP port that tells whether the process takes traffic
	Metrics    string // address and TCP port of the metrics page; empty means none
	LogLevel   string // debug, info, warn or error; empty means info
	FlowLifeS  int    // longest life of a flow, seconds; 0 means 60
}

// PathBalancer is the settings file of a balancer of the packet path.
type PathBalancer struct {
	Path       Path
	Store      string // address and TCP port of the users' store
	Agents     string // address and UDP port that takes the agents' messages
	EvacuateMs int    // how long after a data centre was taken out its servers may get packets; 0 means for ever
	CacheFlows int    // flows whose owners are remembered; 0 takes the default
}

// PathAgent is the settings file of an agent of the packet path.
type PathAgent struct {
	Path     Path
	Outbound string // address and UDP port that takes the server's packets
	Server   string // address and UDP port of the server
	Service  string // that the server belongs to
}

// ReadPathBalancer reads the settings of a balancer of the packet path.
func ReadPathBalancer(path string) (PathBalancer, error) {
	return readChecked(path, func(c *checker, s *PathBalancer) {
		c.pathProcess(s.Path)
		c.port("Store", s.Store)
		c.port("Agents", s.Agents)
		c.count("EvacuateMs", s.EvacuateMs)
		c.count("CacheFlows", s.CacheFlows)
	})
}

// ReadPathAgent reads the settings of an agent of the packet path.
func ReadPathAgent(path string) (PathAgent, error) {
	return readChecked(path, func(c *checker, s *PathAgent) {
		c.pathProcess(s.Path)
		c.port("Outbound", s.Outbound)
		c.port("Server", s.Server)
		if s.Service == "" {
			c.fault("Service", "must be set")
		}
	})
}

func (c *checker) pathProcess(p Path) {
	if p.Name == "" {
		c.fault("Path.Name", "must be set")
	}
	c.address("Path.Host", p.Host)
	c.port("Path.Packets", p.Packets)
	c.port("Path.Ready", p.Ready)
	if p.Metrics != "" {
		c.port("Path.Metrics", p.Metrics)
	}
	c.level("Path.LogLevel", p.LogLevel)
	c.count("Path.FlowLifeS", p.FlowLifeS)
}
