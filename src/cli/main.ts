#!/usr/bin/env node
/** Entry point of the command line. Each command is a class; docs/OPERATIONS.md lists the exit codes. */
import { Builtins, Cli } from "clipanion";
import {
  LogLevelCommand,
  NodeDrainCommand,
  RunnerDrainCommand,
  RunnerListCommand,
  ShardRecoverCommand,
  StatusCommand,
} from "./commands/cluster-commands.ts";
import { NodeCommand } from "./commands/daemon-commands.ts";
import { ExplainLogsCommand } from "./commands/explain-logs-command.ts";
import {
  BudgetShowCommand,
  ExplainCommand,
  ProgramEndCommand,
  ProgramShowCommand,
} from "./commands/program-commands.ts";
import { ReportLogsCommand } from "./commands/report-logs-command.ts";
import { SettingsCheckCommand, SettingsShowCommand } from "./commands/settings-commands.ts";
import {
  TemplateApplyCommand,
  TemplateCheckCommand,
  TemplateDiffCommand,
  TemplateHistoryCommand,
  TemplateListCommand,
} from "./commands/template-commands.ts";
import { DemoCommand } from "./demo/demo-command.ts";

const COMMANDS = [
  DemoCommand,
  NodeCommand,
  TemplateCheckCommand,
  TemplateApplyCommand,
  TemplateDiffCommand,
  TemplateHistoryCommand,
  TemplateListCommand,
  ExplainCommand,
  ExplainLogsCommand,
  ReportLogsCommand,
  ProgramShowCommand,
  ProgramEndCommand,
  BudgetShowCommand,
  StatusCommand,
  NodeDrainCommand,
  RunnerListCommand,
  RunnerDrainCommand,
  ShardRecoverCommand,
  LogLevelCommand,
  SettingsCheckCommand,
  SettingsShowCommand,
];

const cli = new Cli({ binaryName: "tulipwheel", binaryLabel: "tulipwheel", binaryVersion: "0.1.0" });
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
for (const command of COMMANDS) cli.register(command);

process.exitCode = await cli.run(process.argv.slice(2));
process.exit();
