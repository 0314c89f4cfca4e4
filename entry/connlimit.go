package entry

// ConnLimit returns the largest number of connections that this entry may hold
// to an upstream, idle ones included: balance.NoLimit if the configuration
// sets no limit, 0 if the service or the upstream is unknown.
func (n *Node) ConnLimit(service, upstream string) int {
	s := n.services[service]
	if s == nil {
		return 0
	}
	return s.pool.ConnLimit(upstream)
}
