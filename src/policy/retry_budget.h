#ifndef GUAVACROSS_POLICY_RETRY_BUDGET_H_
#define GUAVACROSS_POLICY_RETRY_BUDGET_H_

namespace guavacross::policy {

/// How far an attempt that is to be repeated has got.
enum class AttemptReach {
  /// It ran nowhere: the connection failed, or it was refused as not run.
  kNotRun,
  /// It may have run, and may have called further services.
  kMayHaveRun,
};

/// One budget for retries and hedges, a share of the requests.
///
/// Each request earns the share and each extra attempt spends at least 1, so
/// extra attempts never exceed the share of the requests since the start. The
/// savings are capped, so that a long calm doesn't pay for a storm.
///
/// A call chain may pass many balancers. If each spent the whole share, a
/// failure at the end of 13 calls would be multiplied by 1.1^13 = 3.5. An
/// attempt that ran nowhere caused no calls further on; repeating it costs 1 at
/// any depth. Repeating one that may have run costs (1 + hops)^2, so that the
/// whole chain's multiplication stays below the product of 1 + share/(1+h)^2,
/// which is less than 1.18 for a share of 0.1 and any depth. Not thread safe.
class RetryBudget {
 public:
  /// The most that can be saved, unless another limit is set.
  static constexpr double kMaxSavings = 25;

  /// Limits the savings; what is above the limit is lost.
  void SetMaxSavings(double savings);

  /// A new request, not a retry or hedge of one.
  void Earn(double share);

  /// Spends one extra attempt of a request that has passed `hops` balancers
  /// before this one. Returns false, spending nothing, if too little is left.
  bool Spend(AttemptReach reach, int hops);

 private:
  double m_savings = 0;
  double m_max_savings = kMaxSavings;
};

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_RETRY_BUDGET_H_
