import type { Alternative, Decision, DecisionInputs, Verdict } from "../../scheduling/decision/decision.ts";
import type { EffectivePolicy } from "../../scheduling/policy/effective-policy.ts";
import type { ProgramRecord } from "../../scheduling/program/records.ts";
import type { ConfigurationService } from "../configuration/configuration-service.ts";
import type { NodeContext } from "../node-context.ts";

/** The fields of a decision that its caller supplies. */
export interface DecisionParts {
  readonly subject: string;
  readonly verdict: Verdict;
  readonly rule: string;
  readonly inputs: DecisionInputs;
  readonly alternatives?: readonly Alternative[];
  readonly waitedMs?: number;
  readonly attempts?: number;
}

/** Builds the records of decisions, adding the time, this node and the configuration version. */
export class DecisionBuilder {
  readonly #context: NodeContext;
  readonly #configuration: ConfigurationService;

  constructor(context: NodeContext, configuration: ConfigurationService) {
    this.#context = context;
    this.#configuration = configuration;
  }

  /** Builds the record of a decision that this node makes now. */
  build(parts: DecisionParts): Decision {
    return {
      subject: parts.subject,
      verdict: parts.verdict,
      atMs: this.#context.clock.wallMs(),
      node: this.#context.self.instance,
      configurationVersion: this.#configuration.version,
      rule: parts.rule,
      inputs: parts.inputs,
      alternatives: parts.alternatives ?? [],
      waitedMs: parts.waitedMs ?? 0,
      attempts: parts.attempts ?? 0,
    };
  }

  /** Returns the inputs that every decision about a program includes. */
  inputsOf(program: ProgramRecord, policy: EffectivePolicy | undefined): DecisionInputs {
    const slackMs = program.deadlineAtMs && program.deadlineAtMs - this.#context.clock.wallMs();
    return {
      tenant: program.tenant,
      template: program.template,
      priorityClass: policy?.priorityClass ?? "unknown",
      slackMs,
      attainedServiceMs: program.attainedServiceMs,
    };
  }
}
