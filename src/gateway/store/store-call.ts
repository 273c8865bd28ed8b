/** A call to the platform's store, as one gateway asks another to make it. */
import type {
  ReadOutcome,
  RowRange,
  RowTransaction,
  TransactionOutcome,
  WatchOutcome,
} from "../../ports/store/row-store.ts";

/** What is asked of the store. */
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

/** How a call of each type ends. */
export interface StoreCallOutcomes {
  transact: TransactionOutcome;
  read: ReadOutcome;
  watch: WatchOutcome;
}

/** How a call ended. */
export type StoreCallOutcome = StoreCallOutcomes[keyof StoreCallOutcomes];
