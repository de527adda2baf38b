package conn

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// Serve registers services on a mux and serves them on the listener until the context is done.
func Serve(ctx context.Context, listener net.Listener, register func(mux *drpcmux.Mux) error) error {
	mux := drpcmux.New()

	if err := register(mux); err != nil {
		return errors.Wrap(err, "register services")
	}

	options := drpcserver.Options{Manager: ManagerOptions(), Log: logError}
	server := drpcserver.NewWithOptions(mux, options)

	return errors.Wrapf(server.Serve(ctx, listener), "serve drpc on %s", listener.Addr())
}

func logError(err error) {
	logrus.WithField("component", "conn").WithError(err).Debug("drpc connection ended")
}
