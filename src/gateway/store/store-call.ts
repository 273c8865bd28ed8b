/** Store calls that one gateway asks another to make for it. */
import type {
  ReadOutcome,
  RowRange,
  RowTransaction,
  TransactionOutcome,
  WatchOutcome,
} from "../../ports/store/row-store.ts";

/** A call to the platform's store. */
export type StoreCall =
  | { readonly type: "transact"; readonly transaction: RowTransaction }
  | { readonly type: "read"; readonly range: RowRange }
  | {
      readonly type: "watch";
      readonly table: string;
      readonly afterVersion: number;
      /** How long the store waits for the first change, in ms. */
      readonly waitMs: number;
    };

/** Outcome of each type of call. */
export interface StoreCallOutcomes {
  transact: TransactionOutcome;
  read: ReadOutcome;
  watch: WatchOutcome;
}

/** Outcome of a call of any type. */
export type StoreCallOutcome = StoreCallOutcomes[keyof StoreCallOutcomes];
