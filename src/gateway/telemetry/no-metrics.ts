import { GatewayMetrics } from "./gateway-metrics.ts";

/** Counts nothing: for gateways whose settings name no metrics address. */
export class NoMetrics extends GatewayMetrics {
  override callEnded(): void {}
  override tryEnded(): void {}
  override tryExpected(): void {}
  override named(): void {}
  override admitted(): void {}
  override rated(): void {}
  override retained(): void {}
  override storeWritten(): void {}
  override rowUnreadable(): void {}
  override placed(): void {}
  override dispatched(): void {}
  override readerCut(): void {}
  override async serve(): Promise<void> {}
  override close(): void {}
}
