package entry

// ConnLimit returns the largest number of connections that this entry may
// hold to an upstream; 0 where the upstream is not known.
func (n *Node) ConnLimit(service, upstream string) int {
	s := n.services[service]
	if s == nil {
		return 0
	}
	return s.pool.ConnLimit(upstream)
}
