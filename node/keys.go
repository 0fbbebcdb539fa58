package node

import (
	"github.com/charmbracelet/log"

	"github.com/jackdawlane/jackdawlane/objectstore"
	"github.com/jackdawlane/jackdawlane/register"
	"github.com/jackdawlane/jackdawlane/settings"
)

func newKeyRegister(s settings.Settings, store *objectstore.Client, incarnation uint64, logger *log.Logger) *register.Register {
	return register.New(register.Config{
		Store:        store,
		StoreTimeout: s.Store.Timeout,
		Keys:         s.Keys,
		Incarnation:  incarnation,
		Logger:       logger,
	})
}

// keyClient returns the client with which the entry of this node claims idempotency keys
// at the registers of all live nodes.
func (n *Node) keyClient() *register.Client {
	return &register.Client{Nodes: n.syncer.LiveNodes, NodeClient: n.client.NodeClient}
}
