// Package command implements the subcommands that run entry and agent processes.
package command

import (
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/config/settings"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/object"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
	"github.com/chestnutbeam/chestnutbeam/internal/program/compose"
)

// configureLogs sets the JSON log format and the log level; an empty level keeps the default.
func configureLogs(level string) error {
	logrus.SetFormatter(&logrus.JSONFormatter{})

	if level == "" {
		return nil
	}

	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return errors.Wrap(err, "settings: log")
	}

	logrus.SetLevel(parsed)

	return nil
}

// platform returns the clients of the platform's services.
func platform(from settings.Platform) compose.Platform {
	result := compose.Platform{
		Table: &table.Client{URL: from.Table},
		VMs:   &vms.Client{URL: from.VMs},
	}

	if from.Objects != "" {
		result.Objects = &object.Client{URL: from.Objects}
	}

	return result
}
