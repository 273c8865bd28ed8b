#!/usr/bin/env node
/** The command line: one class per command, exit codes as docs/OPERATIONS.md lists them. */
import { Builtins, Cli } from "clipanion";
import { NodeCommand, SidecarCommand } from "./commands/daemon-commands.ts";

const cli = new Cli({ binaryName: "tulipwheel", binaryLabel: "tulipwheel", binaryVersion: "0.1.0" });
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
cli.register(NodeCommand);
cli.register(SidecarCommand);

process.exitCode = await cli.run(process.argv.slice(2));
if (process.exitCode !== 0 || !process.stdout.isTTY) process.exit();
