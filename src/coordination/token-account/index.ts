export {
  type AccountSnapshot,
  type StoredAccount,
  TokenAccount,
  type TurnGrant,
} from "./token-account.ts";
