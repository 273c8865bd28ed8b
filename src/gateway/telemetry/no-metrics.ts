import { GatewayMetrics } from "./gateway-metrics.ts";

/** Counts nothing: for gateways whose settings name no metrics address. */
export class NoMetrics extends GatewayMetrics {
  override callEnded(): void {}
  override tryEnded(): void {}
  override admitted(): void {}
  override rated(): void {}
  override retained(): void {}
  override storeWritten(): void {}
  override readerCut(): void {}
  override async serve(): Promise<void> {}
  override close(): void {}
}
