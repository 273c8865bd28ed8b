import { GatewayMetrics } from "./gateway-metrics.ts";

/** Records nothing; used if the settings contain no metrics address. */
export class NoMetrics extends GatewayMetrics {
  override recordCall(): void {}
  override recordAttempt(): void {}
  override recordAnswerEnd(): void {}
  override recordRunnerCondition(): void {}
  override recordSuspectVerdict(): void {}
  override recordExpectedAttemptTime(): void {}
  override recordNamedGateway(): void {}
  override recordAdmission(): void {}
  override recordRateDecision(): void {}
  override recordRetention(): void {}
  override recordResumedStream(): void {}
  override recordStoreWrite(): void {}
  override recordUnreadableRow(): void {}
  override recordPlaceDecision(): void {}
  override setDispatchedPlaces(): void {}
  override recordReaderDisconnect(): void {}
  override recordConnectionClosed(): void {}
  override async serve(): Promise<void> {}
  override close(): void {}
}
